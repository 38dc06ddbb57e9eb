#include "common/deflate.h"

#include <string.h>
#include <zlib.h>

GBytes *
ggw_deflate(const char *text)
{
    uLong len = strlen(text);
    uLongf size = compressBound(len);
    guint8 *data = g_malloc(size);
    int status;

    status = compress2(data, &size, (const Bytef *)text, len, Z_BEST_SPEED);
    g_assert(status == Z_OK); /* compressBound() bytes suffice */
    return g_bytes_new_take(data, size);
}

char *
ggw_inflate(const void *data, size_t size, size_t len, size_t max)
{
    uLongf actual_len = len;
    char *text;

    if (len > max) {
        return NULL;
    }
    text = g_malloc(len + 1);
    if (uncompress((Bytef *)text, &actual_len, data, size) != Z_OK ||
        actual_len != len || memchr(text, '\0', len) != NULL) {
        g_free(text);
        return NULL;
    }
    text[len] = '\0';
    return text;
}
