#include "ctl/audit.h"

#include "ctl/ctl.h"
#include "ctl/table.h"

/* Reads in one transaction; the table service accepts at most 128. */
#define MAX_READS 100

/*
 * Finds the highest of some revisions that has an audit row.
 * @revisions: in increasing order; the rows of higher ones than the first
 *             without a row do not exist
 * @found: unchanged when none has one
 */
static bool
find_last(const struct ggw_ctl_args *args, const GArray *revisions,
          uint64_t *found)
{
    struct ggw_txn *txn = ggw_txn_new(args->request_timeout);
    struct ggw_txn_result *result;
    bool ok;

    for (guint i = 0; i < revisions->len; i++) {
        g_autofree char *key =
            ggw_ctl_audit_key(args, g_array_index(revisions, uint64_t, i));

        ggw_txn_read(txn, key);
    }
    result = ggw_ctl_run_txn(args, txn);
    ok = result->status == GGW_PLATFORM_OK;
    for (guint i = 0; ok && i < revisions->len; i++) {
        uint64_t revision = g_array_index(revisions, uint64_t, i);
        g_autofree char *key = ggw_ctl_audit_key(args, revision);

        if (ggw_ctl_find_row(result, key) != NULL) {
            *found = revision;
        }
    }
    ggw_ctl_result_free(result);
    if (!ok) {
        ggw_ctl_fail(args, 0, "platform %s:%u gives no answer",
                     args->platform.host, args->platform.port);
    }
    return ok;
}

/* Powers of two up to the highest revision whose key keeps its width. */
static GArray *
powers_of_two(void)
{
    GArray *powers = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (uint64_t power = 1; power < GGW_CTL_MAX_REVISION; power *= 2) {
        g_array_append_val(powers, power);
    }
    return powers;
}

/* At most MAX_READS revisions between two, which are not among them. */
static GArray *
revisions_between(uint64_t low, uint64_t high)
{
    GArray *revisions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    uint64_t step = MAX((high - low + MAX_READS - 1) / MAX_READS, 1);

    for (uint64_t revision = low + step; revision < high; revision += step) {
        g_array_append_val(revisions, revision);
    }
    return revisions;
}

bool
ggw_ctl_last_revision(const struct ggw_ctl_args *args, uint64_t *revision)
{
    g_autoptr(GArray) powers = powers_of_two();
    uint64_t low = 0, high;

    if (!find_last(args, powers, &low)) {
        return false;
    }
    high = 2 * low;
    while (low + 1 < high) {
        g_autoptr(GArray) revisions = revisions_between(low, high);
        uint64_t step = g_array_index(revisions, uint64_t, 0) - low;
        uint64_t found = low;

        if (!find_last(args, revisions, &found)) {
            return false;
        }
        low = found;
        high = MIN(high, found + step);
    }
    *revision = low;
    return true;
}
