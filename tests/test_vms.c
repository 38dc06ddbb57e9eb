#include <CUnit/Basic.h>
#include <string.h>

#include "common/error.h"
#include "config/vms.h"
#include "platform/platform.h"

#define GATEWAY                                                               \
    "{\"name\":\"g1\",\"role\":\"gateway\",\"failure_domain\":\"a\","         \
    "\"address\":\"127.0.0.1:80\",\"peer_address\":\"127.0.0.1:90\","         \
    "\"incarnation\":\"\",\"state\":\"leaving\"}"
#define SERVER                                                                \
    "{\"name\":\"s1\",\"role\":\"backend_server\",\"team\":\"t\","            \
    "\"service\":\"s\",\"failure_domain\":\"b\","                             \
    "\"address\":\"127.0.0.2:8080\",\"incarnation\":\"12345678901\","         \
    "\"state\":\"live\",\"later_addition\":1}"

/*
 * Guards against wrong members of a parsed entry, and against refusing an
 * entry with members that a later version of the platform adds.
 */
static void
test_parse(void)
{
    struct ggw_vm_list *l = ggw_vm_list_parse(
        "{\"version\":3,\"vms\":[" GATEWAY "," SERVER "]}", NULL);

    g_assert_nonnull(l);
    CU_ASSERT_EQUAL(l->version, 3);
    CU_ASSERT_EQUAL_FATAL(l->len, 2);
    CU_ASSERT_EQUAL(l->vms[0].role, GGW_VM_GATEWAY);
    CU_ASSERT_STRING_EQUAL(l->vms[0].team, "");
    CU_ASSERT_EQUAL(l->vms[0].peer_port, 90);
    CU_ASSERT_EQUAL(l->vms[0].incarnation, 0);
    CU_ASSERT_TRUE(l->vms[0].leaving);
    CU_ASSERT_EQUAL(l->vms[1].role, GGW_VM_BACKEND_SERVER);
    CU_ASSERT_STRING_EQUAL(l->vms[1].host, "127.0.0.2");
    CU_ASSERT_EQUAL(l->vms[1].port, 8080);
    CU_ASSERT_EQUAL(l->vms[1].incarnation, 12345678901);
    CU_ASSERT_FALSE(l->vms[1].leaving);
    ggw_vm_list_unref(l);
}

/*
 * Guards against accepting a truncated or malformed list, which would remove
 * backend servers that still exist.
 */
static void
test_malformed(void)
{
    static const char *const texts[] = {
        "",
        "{\"version\":1,\"vms\":[",
        "{\"vms\":[]}",
        "{\"version\":-1,\"vms\":[]}",
        "{\"version\":1,\"vms\":{}}",
        "{\"version\":1,\"vms\":[" GATEWAY ",{}]}",
        "{\"version\":1,\"vms\":[7]}",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        GError *error = NULL;

        CU_ASSERT_PTR_NULL(ggw_vm_list_parse(texts[i], &error));
        CU_ASSERT_TRUE(g_error_matches(error, GGW_ERROR, GGW_ERROR_PROTOCOL));
        g_clear_error(&error);
    }
}

/**
 * struct response - response of the fake object store to one read
 * @status: status of the read
 * @etag: entity tag of the object, or NULL
 * @body: the object, or NULL
 */
struct response {
    enum ggw_platform_status status;
    const char *etag;
    const char *body;
};

/**
 * struct fake_platform - fake service "platform" and record of the messages
 * @base: service header
 * @responses: responses to reads, in order
 * @len: number of elements in @responses
 * @next: index of the next response
 * @etags: entity tag in each request
 * @published: versions in the order in which they were published
 * @published_len: number of elements in @published
 */
struct fake_platform {
    struct ggw_service base;
    const struct response *responses;
    size_t len;
    size_t next;
    char *etags[16];
    uint64_t published[16];
    size_t published_len;
};

static void
fake_platform_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct fake_platform *f = (struct fake_platform *)service;
    struct ggw_object_request *request = (struct ggw_object_request *)message;
    const struct response *a;
    struct ggw_object_result *result;

    if (message->ops == &ggw_vms_changed_ops) {
        f->published[f->published_len++] =
            ((struct ggw_vms_changed *)message)->list->version;
    }
    if (message->ops != &ggw_object_request_ops) {
        return;
    }
    if (f->next == f->len) {
        ggw_kernel_stop(service->kernel);
        return;
    }
    a = &f->responses[f->next];
    f->etags[f->next++] = g_strdup(request->etag);
    result = ggw_object_result_new(a->status);
    result->etag = g_strdup(a->etag);
    if (a->body != NULL) {
        result->body = g_bytes_new(a->body, strlen(a->body));
    }
    ggw_kernel_reply(service, message, &result->base);
}

static const struct ggw_service_ops fake_platform_ops = {
    .name = "platform",
    .receive = fake_platform_receive,
};

/*
 * Guards against publishing an older version of the list when the object store
 * returns a stale object, and against publishing the same version twice.
 */
static void
test_service(void)
{
    static const struct response responses[] = {
        {GGW_PLATFORM_UNKNOWN, NULL, NULL},
        {GGW_PLATFORM_OK, NULL, NULL},
        {GGW_PLATFORM_OK, "e5", "{\"version\":5,\"vms\":[]}"},
        {GGW_PLATFORM_NOT_MODIFIED, NULL, NULL},
        {GGW_PLATFORM_OK, "e4", "{\"version\":4,\"vms\":[]}"},
        {GGW_PLATFORM_OK, "e5b", "{\"version\":5,\"vms\":[]}"},
        {GGW_PLATFORM_OK, "e6", "{\"version\":6,\"vms\":[{}]}"},
        {GGW_PLATFORM_OK, "e7", "{\"version\":7,\"vms\":[]}"},
    };
    struct ggw_kernel *k = ggw_kernel_new(ggw_clock_system());
    struct fake_platform fake = {
        .base.ops = &fake_platform_ops,
        .responses = responses,
        .len = G_N_ELEMENTS(responses),
    };

    ggw_kernel_add(k, &fake.base);
    ggw_kernel_add(k, ggw_vms_service_new("platform/vms.json", 1));
    CU_ASSERT_TRUE(ggw_kernel_run(k, NULL));
    ggw_kernel_destroy(k);
    CU_ASSERT_EQUAL_FATAL(fake.published_len, 2);
    CU_ASSERT_EQUAL(fake.published[0], 5);
    CU_ASSERT_EQUAL(fake.published[1], 7);
    CU_ASSERT_PTR_NULL(fake.etags[2]);
    CU_ASSERT_STRING_EQUAL(fake.etags[3], "e5");
    CU_ASSERT_STRING_EQUAL(fake.etags[4], "e5");
    for (size_t i = 0; i < fake.next; i++) {
        g_free(fake.etags[i]);
    }
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("vms", NULL, NULL);
    CU_add_test(suite, "parse", test_parse);
    CU_add_test(suite, "malformed list", test_malformed);
    CU_add_test(suite, "versions published", test_service);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
