#include "decide/split.h"

#include <math.h>

size_t
ggw_split_pick(const struct ggw_split_part *parts, size_t len, double *sent)
{
    double weights = 0;
    double total = 1; /* with the request to be sent */
    size_t best = 0;
    double lead = -INFINITY;

    for (size_t i = 0; i < len; i++) {
        weights += parts[i].weight;
        total += sent[i];
    }
    for (size_t i = 0; i < len; i++) {
        double behind =
            weights > 0 ? total * parts[i].weight / weights - sent[i] : 0;

        if (parts[i].weight > 0 && behind > lead) {
            lead = behind;
            best = i;
        }
    }
    sent[best]++;
    return best;
}
