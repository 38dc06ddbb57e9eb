#include "decide/split.h"

#include <math.h>

size_t
ggw_split_pick(const struct ggw_split_part *parts, size_t len, double *sent)
{
    double total_weight = 0;
    double total_sent = 1; /* with the next request */
    size_t best = 0;
    double largest_deficit = -INFINITY;

    for (size_t i = 0; i < len; i++) {
        total_weight += parts[i].weight;
        total_sent += sent[i];
    }
    for (size_t i = 0; i < len; i++) {
        double deficit =
            total_weight > 0
                ? total_sent * parts[i].weight / total_weight - sent[i]
                : 0;

        if (parts[i].weight > 0 && deficit > largest_deficit) {
            largest_deficit = deficit;
            best = i;
        }
    }
    sent[best]++;
    return best;
}
