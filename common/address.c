#include "common/address.h"

#include <arpa/inet.h>
#include <string.h>

#include "common/error.h"

static bool
is_ip(const char *host)
{
    unsigned char buf[sizeof(struct in6_addr)];

    return inet_pton(AF_INET, host, buf) == 1 ||
           inet_pton(AF_INET6, host, buf) == 1;
}

bool
ggw_address_parse(const char *text, struct ggw_address *out, GError **error)
{
    const char *colon = strrchr(text, ':');
    const char *host = text;
    size_t len = colon != NULL ? (size_t)(colon - text) : 0;
    guint64 port;

    if (len > 1 && host[0] == '[' && host[len - 1] == ']') {
        host++;
        len -= 2;
    }
    if (len == 0 || len >= sizeof(out->host) ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL)) {
        goto invalid;
    }
    memcpy(out->host, host, len);
    out->host[len] = '\0';
    out->port = (uint16_t)port;
    if (is_ip(out->host)) {
        return true;
    }
invalid:
    g_set_error(error, GGW_ERROR, GGW_ERROR_INVALID,
                "\"%s\" is not IP:PORT with a port in 0..65535", text);
    return false;
}

char *
ggw_address_format(const char *host, uint16_t port)
{
    return strchr(host, ':') != NULL
               ? g_strdup_printf("[%s]:%u", host, (unsigned)port)
               : g_strdup_printf("%s:%u", host, (unsigned)port);
}
