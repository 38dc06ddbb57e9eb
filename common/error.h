#ifndef GGW_COMMON_ERROR_H
#define GGW_COMMON_ERROR_H

#include <glib.h>

/* GError domain of all errors that this project sets. */
#define GGW_ERROR (ggw_error_quark())

/**
 * enum ggw_error - error codes of the domain GGW_ERROR
 * @GGW_ERROR_INVALID: a value failed validation
 * @GGW_ERROR_IO: a socket or file operation failed
 * @GGW_ERROR_TIMEOUT: no response arrived in time
 * @GGW_ERROR_CONFLICT: a concurrent change was written first
 * @GGW_ERROR_PROTOCOL: the peer sent malformed data
 * @GGW_ERROR_OLDER: the same writer has stated something newer
 */
enum ggw_error {
    GGW_ERROR_INVALID,
    GGW_ERROR_IO,
    GGW_ERROR_TIMEOUT,
    GGW_ERROR_CONFLICT,
    GGW_ERROR_PROTOCOL,
    GGW_ERROR_OLDER,
};

/**
 * ggw_error_quark() - get the GError domain
 */
GQuark ggw_error_quark(void);

#endif
