#ifndef GGW_COMMON_ADDRESS_H
#define GGW_COMMON_ADDRESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct ggw_address - IP number and TCP port
 */
struct ggw_address {
    char host[46]; /* fits the longest text of an IPv6 address */
    uint16_t port;
};

/**
 * ggw_address_parse() - read "IP:PORT" or "[IPv6]:PORT"
 *
 * Return: false with GGW_ERROR_INVALID for a host name, a port outside
 * 0..65535 or any other text.
 */
bool ggw_address_parse(const char *text, struct ggw_address *out,
                       GError **error);

/**
 * ggw_address_text() - write an IP number and a port as "IP:PORT"
 *
 * Return: new text, "[IPv6]:PORT" for an IPv6 number.
 */
char *ggw_address_text(const char *host, uint16_t port);

#endif
