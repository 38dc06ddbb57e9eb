#ifndef GGW_COMMON_ADDRESS_H
#define GGW_COMMON_ADDRESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct ggw_address - IP address and TCP port
 * @host: IPv4 or IPv6 address as text, without brackets
 * @port: TCP port
 */
struct ggw_address {
    char host[46]; /* INET6_ADDRSTRLEN, including the NUL byte */
    uint16_t port;
};

/**
 * ggw_address_parse() - parse "IP:PORT" or "[IPv6]:PORT"
 * @text: text to parse
 * @out: result; undefined on failure
 *
 * Return: false with GGW_ERROR_INVALID for a host name, a port outside
 * 0..65535 or any other text.
 */
bool ggw_address_parse(const char *text, struct ggw_address *out,
                       GError **error);

/**
 * ggw_address_format() - format an IP address and a port as "IP:PORT"
 *
 * Return: a new string, to be freed; "[IPv6]:PORT" for an IPv6 address.
 */
char *ggw_address_format(const char *host, uint16_t port);

#endif
