#include "ctl/args.h"

#include <argp.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

/* Times in ms. A change is guaranteed to be in effect within 12000 ms. */
#define MAX_MS 3600000
#define DEFAULT_TIMEOUT 12000
#define DEFAULT_REQUEST_TIMEOUT 3000

/*
 * Changes that "audit" prints. It reads one row for each in one transaction,
 * and the table service accepts at most 128 reads in a transaction.
 */
#define MAX_LAST 100
#define DEFAULT_LAST 20

enum option_key {
    KEY_TEAM = 't',
    KEY_PLATFORM = 'p',
    KEY_GATEWAY = 'g',
    KEY_WHO = 'w',
    KEY_WAIT = 0x100,
    KEY_FROM,
    KEY_LAST,
    KEY_TIMEOUT,
    KEY_REQUEST_TIMEOUT,
};

static const struct argp_option team_option = {
    "team", KEY_TEAM, "TEAM", 0, "team (GREENGAGEWAY_TEAM)", 0};
static const struct argp_option platform_option = {
    "platform", KEY_PLATFORM, "IP:PORT", 0, "platform (GREENGAGEWAY_PLATFORM)",
    0};
static const struct argp_option gateway_option = {
    "gateway", KEY_GATEWAY, "IP:PORT", 0, "any gateway (GREENGAGEWAY_GATEWAY)",
    0};
static const struct argp_option who_option = {
    "who",
    KEY_WHO,
    "NAME",
    0,
    "operator, for the audit trail (GREENGAGEWAY_WHO, else the login name)",
    0};
static const struct argp_option wait_option = {
    "wait", KEY_WAIT, NULL, 0, "wait until every gateway has the change", 0};
static const struct argp_option from_option = {
    "from",
    KEY_FROM,
    "REVISION",
    0,
    "make the change only if the settings still have this revision",
    0};
static const struct argp_option last_option = {
    "last", KEY_LAST, "N", 0, "number of changes to print (20)", 0};
static const struct argp_option timeout_option = {
    "timeout",
    KEY_TIMEOUT,
    "MS",
    0,
    "longest wait for gateways or for the outcome of a write whose answer was "
    "lost (12000)",
    0};
static const struct argp_option request_timeout_option = {
    "request-timeout",
    KEY_REQUEST_TIMEOUT,
    "MS",
    0,
    "longest wait for one answer (3000)",
    0};

static bool
parse_address(struct argp_state *state, const char *flag, const char *text,
              struct ggw_address *address)
{
    if (!ggw_address_parse(text, address, NULL) || address->port == 0) {
        argp_error(state, "%s: \"%s\" is not IP:PORT", flag, text);
        return false;
    }
    return true;
}

static guint64
parse_number(struct argp_state *state, const char *flag, const char *text,
             guint64 max)
{
    guint64 value = 0;

    if (!g_ascii_string_to_unsigned(text, 10, 1, max, &value, NULL)) {
        argp_error(state, "%s: \"%s\" is not in 1..%" G_GUINT64_FORMAT, flag,
                   text, max);
    }
    return value;
}

/* Takes values that no flag set from the environment. */
static void
apply_environment(struct argp_state *state, struct ggw_ctl_args *a)
{
    const char *platform = g_getenv("GREENGAGEWAY_PLATFORM");
    const char *gateway = g_getenv("GREENGAGEWAY_GATEWAY");

    if (a->team == NULL) {
        a->team = g_getenv("GREENGAGEWAY_TEAM");
    }
    if (a->who == NULL) {
        a->who = g_getenv("GREENGAGEWAY_WHO");
    }
    if (a->who == NULL) {
        a->who = g_get_user_name();
    }
    if (!a->has_platform && platform != NULL) {
        a->has_platform = parse_address(state, "GREENGAGEWAY_PLATFORM",
                                        platform, &a->platform);
    }
    if (!a->has_gateway && gateway != NULL) {
        a->has_gateway =
            parse_address(state, "GREENGAGEWAY_GATEWAY", gateway, &a->gateway);
    }
}

static void
check_args(struct argp_state *state, struct ggw_ctl_args *a)
{
    unsigned option_groups = a->usage->option_groups;

    apply_environment(state, a);
    if (a->operands_len < a->usage->operands_len) {
        argp_error(state, "missing operand, expected %s", a->usage->operands);
    }
    /* The team is part of row keys; with a "/" the key is another row's. */
    if (a->team != NULL && (*a->team == '\0' || strchr(a->team, '/'))) {
        argp_error(state, "--team: \"%s\" is not the name of a team", a->team);
    }
    if ((option_groups & GGW_CTL_TEAM) != 0 && a->team == NULL) {
        argp_error(state, "needs --team or GREENGAGEWAY_TEAM");
    }
    if ((option_groups & GGW_CTL_PLATFORM) != 0 && !a->has_platform) {
        argp_error(state, "needs --platform or GREENGAGEWAY_PLATFORM");
    }
    if (((option_groups & GGW_CTL_GATEWAY) != 0 || a->wait) &&
        !a->has_gateway) {
        argp_error(state, "needs --gateway or GREENGAGEWAY_GATEWAY");
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct ggw_ctl_args *a = state->input;

    switch (key) {
    case KEY_TEAM:
        a->team = arg;
        return 0;
    case KEY_PLATFORM:
        a->has_platform =
            parse_address(state, "--platform", arg, &a->platform);
        return 0;
    case KEY_GATEWAY:
        a->has_gateway = parse_address(state, "--gateway", arg, &a->gateway);
        return 0;
    case KEY_WHO:
        a->who = arg;
        return 0;
    case KEY_WAIT:
        a->wait = true;
        return 0;
    case KEY_FROM:
        a->from = parse_number(state, "--from", arg, G_MAXINT64);
        return 0;
    case KEY_LAST:
        a->last = (unsigned)parse_number(state, "--last", arg, MAX_LAST);
        return 0;
    case KEY_TIMEOUT:
        a->timeout = (ggw_ms)parse_number(state, "--timeout", arg, MAX_MS);
        return 0;
    case KEY_REQUEST_TIMEOUT:
        a->request_timeout =
            (ggw_ms)parse_number(state, "--request-timeout", arg, MAX_MS);
        return 0;
    case ARGP_KEY_ARG:
        if (a->operands_len == a->usage->operands_len) {
            argp_error(state, "unexpected operand \"%s\"", arg);
            return EINVAL;
        }
        a->operands[a->operands_len++] = arg;
        return 0;
    case ARGP_KEY_END:
        check_args(state, a);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
fill_options(unsigned option_groups, struct argp_option *options)
{
    if ((option_groups & (GGW_CTL_TEAM | GGW_CTL_TEAM_FILTER)) != 0) {
        *options++ = team_option;
    }
    if ((option_groups & GGW_CTL_PLATFORM) != 0) {
        *options++ = platform_option;
    }
    if ((option_groups & (GGW_CTL_GATEWAY | GGW_CTL_CHANGE)) != 0) {
        *options++ = gateway_option;
        *options++ = timeout_option;
    }
    if ((option_groups & GGW_CTL_CHANGE) != 0) {
        *options++ = from_option;
        *options++ = who_option;
        *options++ = wait_option;
    }
    if ((option_groups & GGW_CTL_LAST) != 0) {
        *options++ = last_option;
    }
    if (option_groups != 0) {
        *options++ = request_timeout_option;
    }
}

void
ggw_ctl_parse(const struct ggw_ctl_usage *usage, int argc, char **argv,
              struct ggw_ctl_args *args)
{
    static char name[64];
    struct argp_option options[10] = {{0}};
    struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = usage->operands,
        .doc = usage->doc,
    };

    memset(args, 0, sizeof(*args));
    args->usage = usage;
    args->last = DEFAULT_LAST;
    args->timeout = DEFAULT_TIMEOUT;
    args->request_timeout = DEFAULT_REQUEST_TIMEOUT;
    fill_options(usage->option_groups, options);
    snprintf(name, sizeof(name), "greengageway %s", usage->verb);
    argv[0] = name;
    argp_err_exit_status = GGW_CTL_REFUSED;
    argp_parse(&argp, argc, argv, 0, NULL, args);
}

int
ggw_ctl_fail(const struct ggw_ctl_args *args, int status, const char *format,
             ...)
{
    va_list ap;

    fprintf(stderr, "greengageway %s: ", args->usage->verb);
    va_start(ap, format);
    vfprintf(stderr, format, ap);
    va_end(ap);
    fputc('\n', stderr);
    return status;
}
