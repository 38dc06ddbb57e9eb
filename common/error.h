#ifndef GGW_COMMON_ERROR_H
#define GGW_COMMON_ERROR_H

#include <glib.h>

/* Domain of every GError that the project sets. */
#define GGW_ERROR (ggw_error_quark())

/**
 * enum ggw_error - codes in GGW_ERROR
 * @GGW_ERROR_INVALID: a value was refused by a check
 * @GGW_ERROR_IO: a socket or file operation failed
 * @GGW_ERROR_TIMEOUT: no answer in time
 * @GGW_ERROR_CONFLICT: another change won the race
 * @GGW_ERROR_PROTOCOL: the peer sent something malformed
 */
enum ggw_error {
    GGW_ERROR_INVALID,
    GGW_ERROR_IO,
    GGW_ERROR_TIMEOUT,
    GGW_ERROR_CONFLICT,
    GGW_ERROR_PROTOCOL,
};

GQuark ggw_error_quark(void);

#endif
