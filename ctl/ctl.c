#include "ctl/ctl.h"

#include <stddef.h>

#include "ctl/verbs.h"

const struct ggw_ctl_verb ggw_ctl_verbs[] = {
    {"show", "print the settings of a team", ggw_ctl_show},
    {"set", "change one setting", ggw_ctl_set},
    {"apply", "replace the settings by a file", ggw_ctl_apply},
    {"diff", "compare the settings with a file", ggw_ctl_diff},
    {"domain-out", "take a failure domain out of service", ggw_ctl_domain_out},
    {"domain-in", "put a failure domain back into service", ggw_ctl_domain_in},
    {"drain", "give a backend server no new work", ggw_ctl_drain},
    {"undrain", "give a backend server work again", ggw_ctl_undrain},
    {"status", "print the gateways and the backend servers", ggw_ctl_status},
    {"customers", "print the rates of customers and their use",
     ggw_ctl_customers},
    {"rollouts", "print the roll-outs of new versions", ggw_ctl_rollouts},
    {"route", "print where a request goes", ggw_ctl_route},
    {"audit", "print the changes of a team", ggw_ctl_audit},
    {"wait", "wait until every gateway has a revision", ggw_ctl_wait},
    {"settings", "print the reference of all settings", ggw_ctl_settings},
    {NULL, NULL, NULL},
};
