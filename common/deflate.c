#include "common/deflate.h"

#include <string.h>
#include <zlib.h>

static GBytes *
deflate_data(const void *data, size_t len)
{
    uLongf size = compressBound(len);
    guint8 *deflated = g_malloc(size);
    int status = compress2(deflated, &size, data, len, Z_BEST_SPEED);

    g_assert(status == Z_OK); /* compressBound() bytes suffice */
    return g_bytes_new_take(deflated, size);
}

/* Returns @len bytes and a terminating NUL byte, or NULL. */
static char *
inflate_data(const void *data, size_t size, size_t len, size_t max)
{
    uLongf actual_len = len;
    char *inflated;

    if (len > max) {
        return NULL;
    }
    inflated = g_malloc(len + 1);
    if (uncompress((Bytef *)inflated, &actual_len, data, size) != Z_OK ||
        actual_len != len) {
        g_free(inflated);
        return NULL;
    }
    inflated[len] = '\0';
    return inflated;
}

GBytes *
ggw_deflate(const char *text)
{
    return deflate_data(text, strlen(text));
}

GBytes *
ggw_deflate_bytes(GBytes *bytes)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(bytes, &len);

    return deflate_data(data, len);
}

char *
ggw_inflate(const void *data, size_t size, size_t len, size_t max)
{
    char *text = inflate_data(data, size, len, max);

    if (text != NULL && memchr(text, '\0', len) != NULL) {
        g_clear_pointer(&text, g_free);
    }
    return text;
}

GBytes *
ggw_inflate_bytes(const void *data, size_t size, size_t len, size_t max)
{
    char *inflated = inflate_data(data, size, len, max);

    return inflated != NULL ? g_bytes_new_take(inflated, len) : NULL;
}
