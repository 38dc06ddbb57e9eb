#ifndef GGW_DECIDE_CLAIM_H
#define GGW_DECIDE_CLAIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Rules for the row that makes an order run at most once. They only look at
 * the row that was read; they need no clock and no agreement between
 * gateways.
 */

enum ggw_claim_row_state {
    GGW_CLAIM_ROW_CLAIMED, /* may be running, or may have run */
    GGW_CLAIM_ROW_DONE,
    GGW_CLAIM_ROW_NOT_RUN, /* proven not to have run; free to claim again */
};

/**
 * struct ggw_claim_row - content of one row
 * @gateway, @incarnation: process that wrote it
 * @nonce: unique for each claim; settles whether a write with a lost answer
 *         took effect
 * @status: HTTP status of the first answer, when the order is done
 */
struct ggw_claim_row {
    char *gateway;
    uint64_t incarnation;
    char *nonce;
    enum ggw_claim_row_state state;
    int status;
};

/**
 * ggw_claim_row_parse() - read a row
 *
 * Return: false for text that is not a row; treat it as claimed by another.
 */
bool ggw_claim_row_parse(const char *text, struct ggw_claim_row *out);
char *ggw_claim_row_print(const struct ggw_claim_row *row);
void ggw_claim_row_clear(struct ggw_claim_row *row);

/**
 * enum ggw_claim_verdict - what follows from a row that was read
 * @GGW_CLAIM_VERDICT_WRITE: write it, if the row is still at the revision
 *                           that was read
 * @GGW_CLAIM_VERDICT_WRITTEN: the write has taken effect
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
 * ggw_claim_decide() - decide the next step of one write
 * @want: row that is to be written
 * @text: row that was read; NULL when the key does not exist
 * @status: receives the status when the verdict is DONE
 *
 * A claim may be written when there is no row or the row says not run. Done
 * and not run may be written only over the claim with the same nonce. Not run
 * may also be written where no row is, which keeps a delayed claim with the
 * same nonce from taking effect later.
 */
enum ggw_claim_verdict ggw_claim_decide(const struct ggw_claim_row *want,
                                        const char *text, int *status);

#endif
