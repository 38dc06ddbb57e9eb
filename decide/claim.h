#ifndef GGW_DECIDE_CLAIM_H
#define GGW_DECIDE_CLAIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Claim rows, which make an order run at most once
 *
 * A gateway writes the claim row of an order to the table service before it
 * sends the order to a server. The rules depend only on the row that was read;
 * they need no clock and no agreement between gateways.
 */

/**
 * enum ggw_claim_row_state - state of an order
 * @GGW_CLAIM_ROW_CLAIMED: it may be running or may have run
 * @GGW_CLAIM_ROW_DONE: it ran
 * @GGW_CLAIM_ROW_NOT_RUN: it provably did not run and may be claimed again
 */
enum ggw_claim_row_state {
    GGW_CLAIM_ROW_CLAIMED,
    GGW_CLAIM_ROW_DONE,
    GGW_CLAIM_ROW_NOT_RUN,
};

/**
 * struct ggw_claim_row - content of one row
 * @gateway: name of the gateway that wrote the row
 * @incarnation: incarnation of that gateway
 * @nonce: unique for each claim; shows whether a write whose answer was lost
 *         took effect
 * @state: state of the order
 * @status: HTTP status of the first response, if the order is done
 */
struct ggw_claim_row {
    char *gateway;
    uint64_t incarnation;
    char *nonce;
    enum ggw_claim_row_state state;
    int status;
};

/**
 * ggw_claim_row_parse() - parse the JSON text of a row
 * @text: value stored in the row
 * @out: receives the row, to be released with ggw_claim_row_clear(); its
 *       strings are NULL on failure
 *
 * Return: false if the text is not a valid row. The caller must then treat the
 * order as claimed by another gateway.
 */
bool ggw_claim_row_parse(const char *text, struct ggw_claim_row *out);

/**
 * ggw_claim_row_print() - format a row as JSON text
 *
 * Return: text to be released with g_free().
 */
char *ggw_claim_row_print(const struct ggw_claim_row *row);

/**
 * ggw_claim_row_clear() - free the strings of a row and set them to NULL
 */
void ggw_claim_row_clear(struct ggw_claim_row *row);

/**
 * enum ggw_claim_verdict - next step after a row was read
 * @GGW_CLAIM_VERDICT_WRITE: write the row, on condition that the stored one
 *                           still has the revision that was read
 * @GGW_CLAIM_VERDICT_WRITTEN: the write has already taken effect
 * @GGW_CLAIM_VERDICT_DONE: the order ran under another claim
 * @GGW_CLAIM_VERDICT_TAKEN: another claim holds the order
 */
enum ggw_claim_verdict {
    GGW_CLAIM_VERDICT_WRITE,
    GGW_CLAIM_VERDICT_WRITTEN,
    GGW_CLAIM_VERDICT_DONE,
    GGW_CLAIM_VERDICT_TAKEN,
};

/**
 * ggw_claim_decide() - decide the next step of a write
 * @want: row to be written
 * @text: value of the row that was read; NULL if the row does not exist
 * @status: receives the HTTP status if the result is GGW_CLAIM_VERDICT_DONE
 *
 * GGW_CLAIM_ROW_CLAIMED may be written if there is no row or the row has state
 * GGW_CLAIM_ROW_NOT_RUN. The other two states may be written only over a claim
 * with the same nonce. GGW_CLAIM_ROW_NOT_RUN may also be written if there is
 * no row, so that a delayed claim with the same nonce cannot take effect
 * later.
 */
enum ggw_claim_verdict ggw_claim_decide(const struct ggw_claim_row *want,
                                        const char *text, int *status);

#endif
