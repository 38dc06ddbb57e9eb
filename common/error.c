#include "common/error.h"

G_DEFINE_QUARK(ggw - error - quark, ggw_error)
