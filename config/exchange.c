#include "config/exchange.h"

#include <msgpack.h>
#include <string.h>

#include "common/deflate.h"
#include "config/tree.h"

static void
pack_text(msgpack_packer *packer, const char *text)
{
    size_t len = strlen(text);

    msgpack_pack_str(packer, len);
    msgpack_pack_str_body(packer, text, len);
}

/* Copies the contents of a buffer and frees the buffer. */
static GBytes *
buffer_to_bytes(msgpack_sbuffer *buffer)
{
    GBytes *bytes = g_bytes_new(buffer->data, buffer->size);

    msgpack_sbuffer_destroy(buffer);
    return bytes;
}

GBytes *
ggw_config_query_pack(const struct ggw_config_query *query)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    GHashTableIter iter;
    void *team, *revision;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    if (query->team != NULL) {
        pack_text(&packer, query->team);
        return buffer_to_bytes(&buffer);
    }
    msgpack_pack_map(&packer, g_hash_table_size(query->known_revisions));
    g_hash_table_iter_init(&iter, query->known_revisions);
    while (g_hash_table_iter_next(&iter, &team, &revision)) {
        pack_text(&packer, team);
        msgpack_pack_uint64(&packer, *(guint64 *)revision);
    }
    return buffer_to_bytes(&buffer);
}

void
ggw_config_query_init(struct ggw_config_query *query)
{
    query->team = NULL;
    query->known_revisions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
ggw_config_query_clear(struct ggw_config_query *query)
{
    g_free(query->team);
    g_hash_table_destroy(query->known_revisions);
}

void
ggw_config_query_add(struct ggw_config_query *query, const char *team,
                     uint64_t revision)
{
    guint64 *value = g_new(guint64, 1);

    *value = revision;
    g_hash_table_insert(query->known_revisions, g_strdup(team), value);
}

bool
ggw_config_query_matches(const struct ggw_config_query *query,
                         const char *team, uint64_t revision)
{
    const guint64 *known_revision =
        g_hash_table_lookup(query->known_revisions, team);

    if (query->team != NULL && strcmp(query->team, team) != 0) {
        return false;
    }
    return known_revision == NULL || *known_revision < revision;
}

/* Copies a string. Returns NULL for other types and if it contains a NUL. */
static char *
unpack_text(const msgpack_object *o)
{
    if (o->type != MSGPACK_OBJECT_STR) {
        return NULL;
    }
    if (o->via.str.size == 0) {
        return g_strdup(""); /* its pointer may be NULL */
    }
    if (memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
        return NULL;
    }
    return g_strndup(o->via.str.ptr, o->via.str.size);
}

static bool
unpack_revisions(const msgpack_object *o, struct ggw_config_query *query)
{
    for (uint32_t i = 0; i < o->via.map.size; i++) {
        const msgpack_object_kv *kv = &o->via.map.ptr[i];
        g_autofree char *team = unpack_text(&kv->key);

        if (team == NULL || kv->val.type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
        ggw_config_query_add(query, team, kv->val.via.u64);
    }
    return true;
}

static bool
unpack(msgpack_unpacked *unpacked, GBytes *payload)
{
    size_t len;
    const char *data = g_bytes_get_data(payload, &len);

    msgpack_unpacked_init(unpacked);
    return msgpack_unpack_next(unpacked, data, len, NULL) ==
           MSGPACK_UNPACK_SUCCESS;
}

bool
ggw_config_query_unpack(GBytes *payload, struct ggw_config_query *query)
{
    msgpack_unpacked unpacked;
    bool ok = unpack(&unpacked, payload);

    ggw_config_query_init(query);
    if (ok) {
        switch (unpacked.data.type) {
        case MSGPACK_OBJECT_NIL:
            break;
        case MSGPACK_OBJECT_STR:
            query->team = unpack_text(&unpacked.data);
            ok = query->team != NULL;
            break;
        case MSGPACK_OBJECT_MAP:
            ok = unpack_revisions(&unpacked.data, query);
            break;
        default:
            ok = false;
            break;
        }
    }
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}

GBytes *
ggw_config_update_pack(const struct ggw_config_update *update)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    g_autoptr(GBytes) deflated = ggw_deflate(update->json);
    gsize size;
    gconstpointer data = g_bytes_get_data(deflated, &size);

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_map(&packer, update->written_version > 0 ? 5 : 4);
    pack_text(&packer, "team");
    pack_text(&packer, update->team);
    pack_text(&packer, "revision");
    msgpack_pack_uint64(&packer, update->revision);
    pack_text(&packer, "size");
    msgpack_pack_uint64(&packer, strlen(update->json));
    pack_text(&packer, "deflated");
    msgpack_pack_bin(&packer, size);
    msgpack_pack_bin_body(&packer, data, size);
    if (update->written_version > 0) {
        pack_text(&packer, "written_version");
        msgpack_pack_uint64(&packer, update->written_version);
    }
    return buffer_to_bytes(&buffer);
}

static bool
key_equals(const msgpack_object *key, const char *name)
{
    return key->type == MSGPACK_OBJECT_STR &&
           key->via.str.size == strlen(name) &&
           memcmp(key->via.str.ptr, name, key->via.str.size) == 0;
}

/**
 * struct packed_update - members of a CONFIG_PUT before decompression
 * @team: name of the team
 * @revision: revision of the settings
 * @size: length of the uncompressed JSON text in bytes
 * @written_version: number that the writer of the settings gave them
 * @deflated: compressed JSON text
 */
struct packed_update {
    char *team;
    uint64_t revision;
    uint64_t written_version;
    uint64_t size;
    const msgpack_object_bin *deflated;
};

static void
unpack_member(const msgpack_object_kv *kv, struct packed_update *update)
{
    if (key_equals(&kv->key, "team") && update->team == NULL) {
        update->team = unpack_text(&kv->val);
    }
    else if (key_equals(&kv->key, "deflated") &&
             kv->val.type == MSGPACK_OBJECT_BIN) {
        update->deflated = &kv->val.via.bin;
    }
    else if (key_equals(&kv->key, "size") &&
             kv->val.type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
        update->size = kv->val.via.u64;
    }
    else if (key_equals(&kv->key, "revision") &&
             kv->val.type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
        update->revision = kv->val.via.u64;
    }
    else if (key_equals(&kv->key, "written_version") &&
             kv->val.type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
        update->written_version = kv->val.via.u64;
    }
}

bool
ggw_config_update_unpack(GBytes *payload, struct ggw_config_update *update)
{
    msgpack_unpacked unpacked;
    bool ok = unpack(&unpacked, payload);
    struct packed_update packed = {0};

    memset(update, 0, sizeof(*update));
    if (ok && unpacked.data.type == MSGPACK_OBJECT_MAP) {
        for (uint32_t i = 0; i < unpacked.data.via.map.size; i++) {
            unpack_member(&unpacked.data.via.map.ptr[i], &packed);
        }
    }
    update->team = packed.team;
    update->revision = packed.revision;
    update->written_version = packed.written_version;
    if (packed.deflated != NULL) {
        update->json = ggw_inflate(packed.deflated->ptr, packed.deflated->size,
                                   packed.size, GGW_TREE_JSON_MAX);
    }
    msgpack_unpacked_destroy(&unpacked);
    return update->team != NULL && update->json != NULL &&
           update->revision > 0;
}

void
ggw_config_update_clear(struct ggw_config_update *update)
{
    g_free(update->team);
    g_free(update->json);
}
