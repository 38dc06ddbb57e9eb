#ifndef GGW_CONFIG_EXCHANGE_H
#define GGW_CONFIG_EXCHANGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: exchange of settings between gateways
 *
 * Encodes and decodes the MessagePack payloads of the frames CONFIG_GET and
 * CONFIG_PUT.
 *
 * CONFIG_GET requests settings. Nil requests those of all teams, a string
 * those of the team of that name, and a map from team to revision those of all
 * teams that are absent from the map or have a higher revision than in it.
 *
 * CONFIG_PUT carries the settings of one team as a map with the keys "team",
 * "revision", "deflated" (the compressed JSON text), "size" (the length of
 * the uncompressed text in bytes) and, if it is known, "written_version" (the
 * number that the writer of the settings gave them). Unknown keys are ignored.
 */

/**
 * struct ggw_config_query - payload of a CONFIG_GET
 * @team: name of the one requested team, or NULL for all teams
 * @known_revisions: hash table from team name to the revision that the
 *                   requester has (guint64 *); empty to request everything
 */
struct ggw_config_query {
    char *team;
    GHashTable *known_revisions;
};

/**
 * ggw_config_query_pack() - encode a query
 * @query: query
 */
GBytes *ggw_config_query_pack(const struct ggw_config_query *query);

/**
 * ggw_config_query_unpack() - decode a query
 * @payload: payload of the frame
 * @query: receives the query; needs ggw_config_query_clear() in either case
 *
 * Return: false when the payload is malformed.
 */
bool ggw_config_query_unpack(GBytes *payload, struct ggw_config_query *query);

/**
 * ggw_config_query_init() - initialize a query for all settings of all teams
 * @query: query
 */
void ggw_config_query_init(struct ggw_config_query *query);

/**
 * ggw_config_query_clear() - free the members of a query
 * @query: query
 */
void ggw_config_query_clear(struct ggw_config_query *query);

/**
 * ggw_config_query_add() - add the revision that the requester has of a team
 * @query: query
 * @team: name of the team; copied
 * @revision: revision; only a higher one is requested
 */
void ggw_config_query_add(struct ggw_config_query *query, const char *team,
                          uint64_t revision);

/**
 * ggw_config_query_matches() - tell whether a query requests some settings
 * @query: query
 * @team: name of the team
 * @revision: revision of the settings
 */
bool ggw_config_query_matches(const struct ggw_config_query *query,
                              const char *team, uint64_t revision);

/**
 * struct ggw_config_update - payload of a CONFIG_PUT
 * @team: name of the team
 * @revision: revision of the settings, at least 1
 * @json: JSON text of the settings
 * @written_version: as in struct ggw_tree
 */
struct ggw_config_update {
    char *team;
    uint64_t revision;
    char *json;
    uint64_t written_version;
};

/**
 * ggw_config_update_pack() - encode an update and compress its settings
 * @update: update
 */
GBytes *ggw_config_update_pack(const struct ggw_config_update *update);

/**
 * ggw_config_update_unpack() - decode an update and decompress its settings
 * @payload: payload of the frame
 * @update: receives the update; needs ggw_config_update_clear() in either case
 *
 * Return: false when the payload is malformed, the settings are longer than
 * GGW_TREE_JSON_MAX or the revision is 0.
 */
bool ggw_config_update_unpack(GBytes *payload,
                              struct ggw_config_update *update);

/**
 * ggw_config_update_clear() - free the members of an update
 * @update: update
 */
void ggw_config_update_clear(struct ggw_config_update *update);

#endif
