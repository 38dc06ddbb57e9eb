#ifndef GGW_CONFIG_EXCHANGE_H
#define GGW_CONFIG_EXCHANGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Payloads of the frames CONFIG_GET and CONFIG_PUT between gateways.
 *
 * CONFIG_GET: nil asks for all teams, a text for one team, and a map from
 * team to revision for all teams whose revision is higher than in the map or
 * that are not in it.
 * CONFIG_PUT: a map with "team", "revision", "size" and "deflated": the JSON
 * of the settings, compressed, and its length in bytes.
 */

/**
 * struct ggw_config_query - a CONFIG_GET
 * @team: the one team asked for, or NULL for all
 * @known: team name to revision (guint64 *); empty asks for everything
 */
struct ggw_config_query {
    char *team;
    GHashTable *known;
};

GBytes *ggw_config_query_pack(const struct ggw_config_query *query);
bool ggw_config_query_unpack(GBytes *payload, struct ggw_config_query *query);
void ggw_config_query_init(struct ggw_config_query *query);
void ggw_config_query_clear(struct ggw_config_query *query);
void ggw_config_query_add(struct ggw_config_query *query, const char *team,
                          uint64_t revision);

/* Whether a query asks for a team that has this revision. */
bool ggw_config_query_wants(const struct ggw_config_query *query,
                            const char *team, uint64_t revision);

/**
 * struct ggw_config_offer - a CONFIG_PUT
 */
struct ggw_config_offer {
    char *team;
    uint64_t revision;
    char *json;
};

GBytes *ggw_config_offer_pack(const struct ggw_config_offer *offer);
bool ggw_config_offer_unpack(GBytes *payload, struct ggw_config_offer *offer);
void ggw_config_offer_clear(struct ggw_config_offer *offer);

#endif
