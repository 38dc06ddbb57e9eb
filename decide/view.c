#include "decide/view.h"

#include <math.h>
#include <string.h>

/*
 * Lowest value of ggw_view_interval_factor() above GGW_VIEW_UNSCALED_MAX
 * members.
 */
#define LARGE_VIEW_FACTOR 2.5

/*
 * Above this number of members the factor grows in proportion to them, so that
 * a gateway sends no more heartbeats per second than with this many. At
 * MAX_FACTOR it stops growing, because a death would be noticed too late.
 */
#define RATE_CAP_MEMBERS 60
#define MAX_FACTOR 6.0

struct ggw_view {
    GPtrArray *members;  /* of struct ggw_view_member, sorted by name */
    GHashTable *by_name; /* name to the same struct ggw_view_member */
    struct ggw_view_member *self;
    int seeds;
    bool has_list;
    uint64_t list_version;
    bool changed;
};

double
ggw_view_interval_factor(const struct ggw_view *v)
{
    double factor = LARGE_VIEW_FACTOR * v->members->len / RATE_CAP_MEMBERS;

    if (v->members->len <= GGW_VIEW_UNSCALED_MAX) {
        return 1;
    }
    return CLAMP(factor, LARGE_VIEW_FACTOR, MAX_FACTOR);
}

static void
member_free(gpointer data)
{
    struct ggw_view_member *m = data;

    g_free(m->member.name);
    g_free(m->member.failure_domain);
    g_free(m->member.host);
    g_free(m);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    const struct ggw_view_member *const *x = a;
    const struct ggw_view_member *const *y = b;

    return strcmp((*x)->member.name, (*y)->member.name);
}

static struct ggw_view_member *
find(const struct ggw_view *v, const char *name)
{
    return g_hash_table_lookup(v->by_name, name);
}

static struct ggw_view_member *
find_or_add(struct ggw_view *v, const char *name, const char *domain)
{
    struct ggw_view_member *m = find(v, name);

    if (m == NULL) {
        m = g_new0(struct ggw_view_member, 1);
        m->member.name = g_strdup(name);
        m->member.failure_domain = g_strdup(domain);
        m->member.host = g_strdup("");
        m->member.state = GGW_MEMBER_DEAD;
        m->acked_at = -INFINITY;
        g_ptr_array_add(v->members, m);
        g_ptr_array_sort(v->members, compare_names);
        g_hash_table_insert(v->by_name, m->member.name, m);
    }
    return m;
}

static void
set_state(struct ggw_view *v, struct ggw_view_member *m,
          enum ggw_member_state state)
{
    if (m->member.state != state) {
        m->member.state = state;
        v->changed = true;
    }
}

static void
replace_string(char **to, const char *from)
{
    if (strcmp(*to, from) != 0) {
        g_free(*to);
        *to = g_strdup(from);
    }
}

static void
apply_hello(struct ggw_view_member *m, const struct ggw_view_hello *hello)
{
    replace_string(&m->member.failure_domain, hello->failure_domain);
    replace_string(&m->member.host, hello->host);
    m->member.port = hello->port;
    m->member.capacity = hello->capacity;
    m->member.incarnation = hello->incarnation;
}

struct ggw_view *
ggw_view_new(const struct ggw_view_hello *self, int seeds, ggw_ms now)
{
    struct ggw_view *v = g_new0(struct ggw_view, 1);

    v->members = g_ptr_array_new_with_free_func(member_free);
    v->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    v->self = find_or_add(v, self->name, self->failure_domain);
    apply_hello(v->self, self);
    v->self->member.self = true;
    v->self->member.state = GGW_MEMBER_ALIVE;
    v->self->heard_at = now;
    v->seeds = seeds;
    v->changed = true;
    return v;
}

void
ggw_view_free(struct ggw_view *v)
{
    if (v == NULL) {
        return;
    }
    g_hash_table_unref(v->by_name);
    g_ptr_array_unref(v->members);
    g_free(v);
}

/* Makes accepts_incarnation() reject the current incarnation from now on. */
static void
retire_incarnation(struct ggw_view_member *m)
{
    m->gone = MAX(m->gone, m->member.incarnation);
}

static void
mark_left(struct ggw_view *v, struct ggw_view_member *m)
{
    m->left = true;
    retire_incarnation(m);
    set_state(v, m, GGW_MEMBER_LEAVING);
}

/*
 * Accepts the current incarnation unless it is dead, and a newer one that
 * neither left nor died.
 */
static bool
accepts_incarnation(const struct ggw_view_member *m, uint64_t incarnation)
{
    bool current = incarnation == m->member.incarnation &&
                   m->member.state != GGW_MEMBER_DEAD;

    return current ||
           (incarnation > m->gone && incarnation > m->member.incarnation);
}

bool
ggw_view_hello(struct ggw_view *v, const struct ggw_view_hello *hello,
               ggw_ms now)
{
    struct ggw_view_member *m =
        find_or_add(v, hello->name, hello->failure_domain);

    if (m->member.self || !accepts_incarnation(m, hello->incarnation)) {
        return false;
    }
    if (hello->incarnation > m->member.incarnation) {
        apply_hello(m, hello);
        m->left = false;
        m->acked_at = -INFINITY;
        m->member.state = GGW_MEMBER_ALIVE;
        v->changed = true;
    }
    return ggw_view_record_heartbeat(v, hello->name, hello->incarnation,
                                     hello->leaving, now);
}

bool
ggw_view_record_heartbeat(struct ggw_view *v, const char *name,
                          uint64_t incarnation, bool leaving, ggw_ms now)
{
    struct ggw_view_member *m = find(v, name);

    if (m == NULL || m->member.self || incarnation != m->member.incarnation ||
        !accepts_incarnation(m, incarnation)) {
        return false;
    }
    m->heard_at = now;
    if (leaving && !m->left) {
        mark_left(v, m);
    }
    else if (!m->left) {
        set_state(v, m, GGW_MEMBER_ALIVE);
    }
    return true;
}

void
ggw_view_record_ack(struct ggw_view *v, const char *name, uint64_t incarnation,
                    ggw_ms sent_at)
{
    struct ggw_view_member *m = find(v, name);

    if (m != NULL && m->member.incarnation == incarnation &&
        sent_at > m->acked_at) {
        m->acked_at = sent_at;
    }
}

static void
apply_list_entry(struct ggw_view *v, const struct ggw_vm *vm)
{
    struct ggw_view_member *m = find_or_add(v, vm->name, vm->failure_domain);
    bool older =
        vm->incarnation != 0 && vm->incarnation < m->member.incarnation;

    m->listed = !older || !vm->leaving;
    m->listed_leaving = vm->leaving && !older;
}

void
ggw_view_apply_vm_list(struct ggw_view *v, const struct ggw_vm_list *list)
{
    if (v->has_list && list->version < v->list_version) {
        return;
    }
    v->has_list = true;
    v->list_version = list->version;
    for (guint i = 0; i < v->members->len; i++) {
        struct ggw_view_member *m = g_ptr_array_index(v->members, i);

        m->listed = false;
        m->listed_leaving = false;
    }
    for (size_t i = 0; i < list->len; i++) {
        if (list->vms[i].role == GGW_VM_GATEWAY) {
            apply_list_entry(v, &list->vms[i]);
        }
    }
    v->changed = true;
}

/* Updates the state of one member. Returns false if it is to be removed. */
static bool
tick_member(struct ggw_view *v, struct ggw_view_member *m, ggw_ms now)
{
    ggw_ms silence = now - m->heard_at;

    if (m->member.self) {
        return true;
    }
    if (m->member.state == GGW_MEMBER_DEAD) {
        return m->listed || silence <= GGW_VIEW_FORGET_AFTER;
    }
    if (silence > ggw_view_interval_factor(v) * GGW_DEAD_AFTER) {
        retire_incarnation(m);
        set_state(v, m, GGW_MEMBER_DEAD);
    }
    else if (silence > ggw_view_interval_factor(v) * GGW_SUSPECT_AFTER &&
             !m->left) {
        set_state(v, m, GGW_MEMBER_SUSPECTED);
    }
    return true;
}

void
ggw_view_tick(struct ggw_view *v, ggw_ms now)
{
    for (guint i = v->members->len; i > 0; i--) {
        struct ggw_view_member *m = g_ptr_array_index(v->members, i - 1);

        if (!tick_member(v, m, now)) {
            g_hash_table_remove(v->by_name, m->member.name);
            g_ptr_array_remove_index(v->members, i - 1);
            v->changed = true;
        }
    }
}

void
ggw_view_add_stall(struct ggw_view *v, ggw_ms duration)
{
    for (guint i = 0; i < v->members->len; i++) {
        struct ggw_view_member *m = g_ptr_array_index(v->members, i);

        m->heard_at += duration;
    }
}

void
ggw_view_leave(struct ggw_view *v)
{
    v->self->left = true;
    set_state(v, v->self, GGW_MEMBER_LEAVING);
}

void
ggw_view_set_incarnation(struct ggw_view *v, uint64_t incarnation)
{
    if (incarnation > v->self->member.incarnation) {
        v->self->member.incarnation = incarnation;
        v->changed = true;
    }
}

bool
ggw_view_changed(struct ggw_view *v)
{
    bool changed = v->changed;

    v->changed = false;
    return changed;
}

enum ggw_member_state
ggw_view_state(const struct ggw_view_member *m)
{
    if (m->listed_leaving && m->member.state != GGW_MEMBER_DEAD) {
        return GGW_MEMBER_LEAVING;
    }
    return m->member.state;
}

const struct ggw_view_member *
ggw_view_find(const struct ggw_view *v, const char *name)
{
    return find(v, name);
}

const struct ggw_view_member *
ggw_view_self(const struct ggw_view *v)
{
    return v->self;
}

const GPtrArray *
ggw_view_members(const struct ggw_view *v)
{
    return v->members;
}

static bool
counts_for_majority(const struct ggw_view *v, const struct ggw_view_member *m)
{
    if (m->left || m->listed_leaving) {
        return false;
    }
    if (m->member.state != GGW_MEMBER_DEAD || m->listed) {
        return true;
    }
    return !v->has_list && m->member.incarnation != 0;
}

int
ggw_view_cluster_size(const struct ggw_view *v)
{
    int n = 0;
    int left = 0;

    for (guint i = 0; i < v->members->len; i++) {
        const struct ggw_view_member *m = g_ptr_array_index(v->members, i);

        n += counts_for_majority(v, m);
        left += m->left;
    }
    if (!v->has_list) {
        n = MAX(n, v->seeds + 1 - left);
    }
    return MAX(n, 1);
}

static gint
compare_descending(gconstpointer a, gconstpointer b)
{
    ggw_ms x = *(const ggw_ms *)a;
    ggw_ms y = *(const ggw_ms *)b;

    return (x < y) - (x > y);
}

ggw_ms
ggw_view_majority_valid_until(const struct ggw_view *v)
{
    guint others =
        (guint)ggw_view_cluster_size(v) / 2; /* besides this gateway */
    g_autoptr(GArray) acked = g_array_new(FALSE, FALSE, sizeof(ggw_ms));

    if (others == 0) {
        return INFINITY;
    }
    for (guint i = 0; i < v->members->len; i++) {
        const struct ggw_view_member *m = g_ptr_array_index(v->members, i);

        if (!m->member.self && counts_for_majority(v, m)) {
            g_array_append_val(acked, m->acked_at);
        }
    }
    if (acked->len < others) {
        return -INFINITY;
    }
    g_array_sort(acked, compare_descending);
    return g_array_index(acked, ggw_ms, others - 1) +
           ggw_view_interval_factor(v) * GGW_SUSPECT_AFTER;
}
