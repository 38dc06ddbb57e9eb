#ifndef GGW_DECIDE_SURPLUS_H
#define GGW_DECIDE_SURPLUS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Responses that stand within another one
 *
 * A faulty server sends a response once more: behind itself, or late, on a
 * connection that carries a later response by then. Where the framing does not
 * separate the two, the copy becomes part of the other one. This module finds
 * a copy by its head:
 *
 * - On a connection that has carried an earlier response, a response is
 *   suspect when it has a status line in its head or body, or when its body
 *   ends within one. The same text in a sound response has to be asked for
 *   again, on a new connection.
 * - On a new connection, there can only be a copy of the same response. It is
 *   found by a header line that no other response has, such as the id of the
 *   request, or because it begins as the head of this response. A body that
 *   merely quotes a response is left alone.
 *
 * The code reads no sockets.
 */

/* Number of marks of a response. */
#define GGW_SURPLUS_MARKS 2

/* Longest header line that is compared with the marks, in bytes. */
#define GGW_SURPLUS_LINE_BYTES 256

/**
 * struct ggw_surplus_scan - search through one body
 * @reused: the connection has carried an earlier response
 * @framed: the body has a length or is chunked
 * @marks: hashes of the header lines that no other response has
 * @marks_len: number of @marks
 * @own_head: head of this response; NULL if it is not known
 * @own_head_len: length of @own_head in bytes
 * @matched: bytes of a status line that the last bytes match
 * @in_head: the last bytes belong to a head in the body
 * @in_status_line: they belong to the rest of its status line
 * @head_bytes: bytes of that head so far
 * @own_matched: as many, if they all are those of @own_head; else 0
 * @own_status: that head has the status line of @own_head
 * @line: its current line, or the status line that is being matched; cut off
 * at the size of the array
 * @line_len: bytes in @line
 * @found: the body holds a copy, or is suspect
 */
struct ggw_surplus_scan {
    bool reused;
    bool framed;
    uint64_t marks[GGW_SURPLUS_MARKS];
    size_t marks_len;
    const char *own_head;
    size_t own_head_len;
    size_t matched;
    bool in_head;
    bool in_status_line;
    size_t head_bytes;
    size_t own_matched;
    bool own_status;
    char line[GGW_SURPLUS_LINE_BYTES];
    size_t line_len;
    bool found;
};

/**
 * ggw_surplus_scan_init() - begin with a body
 * @reused: the connection has carried an earlier response
 * @framed: the body has a length or is chunked
 */
void ggw_surplus_scan_init(struct ggw_surplus_scan *s, bool reused,
                           bool framed);

/**
 * ggw_surplus_scan_mark() - add a header line that no other response has
 * @name: in any case
 * @value: without white space around it
 * @len: length of @value in bytes
 */
void ggw_surplus_scan_mark(struct ggw_surplus_scan *s, const char *name,
                           const char *value, size_t len);

/**
 * ggw_surplus_scan_needs_head() - whether to set the head before scanning
 *
 * Return: true if the bytes may hold the head of a copy of this response.
 */
bool ggw_surplus_scan_needs_head(const struct ggw_surplus_scan *s,
                                 const char *bytes, size_t len);

/**
 * ggw_surplus_scan_set_head() - set the head of this response
 * @head: with the empty line at the end; must stay valid
 */
void ggw_surplus_scan_set_head(struct ggw_surplus_scan *s, const char *head,
                               size_t len);

/**
 * ggw_surplus_scan_feed() - scan further bytes of the body
 *
 * Return: true if the body holds a copy, or is suspect.
 */
bool ggw_surplus_scan_feed(struct ggw_surplus_scan *s, const char *bytes,
                           size_t len);

/**
 * ggw_surplus_scan_undecided() - number of the last bytes that may be a copy's
 *
 * They are to be withheld until further bytes or the end decide.
 */
size_t ggw_surplus_scan_undecided(const struct ggw_surplus_scan *s);

/**
 * ggw_surplus_scan_end() - end with the body
 *
 * Return: as ggw_surplus_scan_feed(); also true if a copy may have been cut at
 * the end, by the server or by the length of the body.
 */
bool ggw_surplus_scan_end(const struct ggw_surplus_scan *s);

/**
 * ggw_surplus_in_text() - whether a text holds a status line
 * @text: reason phrase or header value of a response on a connection that has
 *        carried another one
 */
bool ggw_surplus_in_text(const char *text, size_t len);

/**
 * ggw_surplus_continues() - whether a header is continued by a status line
 * @value: header value of a response
 * @status_line: of the same response, without the line end
 *
 * A copy that is cut within a header is continued by the next response.
 *
 * Return: true if @value has other text and then ends with @status_line.
 */
bool ggw_surplus_continues(const char *value, const char *status_line);

#endif
