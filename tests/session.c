#include "tests/session.h"

#include <stdio.h>
#include <string.h>

struct session {
    char *name;
    struct system *system;
    GString *text;
};

struct replacement {
    const char *pattern, *substitute;
};

/* Parts of a transcript that change from run to run. */
static const struct replacement replacements[] = {
    {"127\\.\\d+\\.\\d+\\.\\d+:\\d+", "ADDRESS"},
    {"\\d{4}-\\d\\d-\\d\\d[T ]\\d\\d:\\d\\d:\\d\\d(\\.\\d+)?Z?", "TIME"},
    {"\\b1[0-9]{12}\\b", "UNIX_MS"},
    {"\\b[0-9a-f]{16,}\\b", "ID"},
    {"(busy|queue|cold)=\\d+", "\\1=N"},
    {"\\bgw\\d+-\\d+\\b", "ID"},
    {"/tmp/\\S+", "FILE"},
    {"x-backend-server: \\S+", "x-backend-server: SERVER"},
    {"\"server\":\"[^\"]+\"", "\"server\":\"SERVER\""},
    {"(?i)(retry-after): \\d+", "\\1: N"},
};

/* Headers that h2o adds itself; they are left out of transcripts. */
static const char *const omitted_headers[] = {
    "date:", "server:", "connection:"};

struct session *
session_new(const char *name, struct system *system)
{
    struct session *s = g_new0(struct session, 1);

    s->name = g_strdup(name);
    s->system = system;
    s->text = g_string_new(NULL);
    return s;
}

static void
replace_all(GString *text)
{
    for (guint i = 0; i < G_N_ELEMENTS(replacements); i++) {
        GRegex *regex = g_regex_new(replacements[i].pattern, 0, 0, NULL);
        char *result = g_regex_replace(regex, text->str, (gssize)text->len, 0,
                                       replacements[i].substitute, 0, NULL);

        g_string_assign(text, result);
        g_free(result);
        g_regex_unref(regex);
    }
}

static bool
is_omitted_header(const char *line)
{
    for (guint i = 0; i < G_N_ELEMENTS(omitted_headers); i++) {
        if (g_ascii_strncasecmp(line, omitted_headers[i],
                                strlen(omitted_headers[i])) == 0) {
            return true;
        }
    }
    return false;
}

static void
add_reply(struct session *s, struct reply *r)
{
    g_auto(GStrv) lines = g_strsplit(r->head->str, "\r\n", -1);

    if (r->status == 0) {
        g_string_append(s->text, "< connection closed\n");
    }
    for (guint i = 0; lines[i] != NULL; i++) {
        if (lines[i][0] != '\0' && !is_omitted_header(lines[i])) {
            g_string_append_printf(s->text, "< %s\n", lines[i]);
        }
    }
    if (r->body->len > 0) {
        g_string_append_printf(s->text, "%s\n", reply_text(r));
    }
    if (r->status != 0 && !r->complete) {
        g_string_append(s->text, "< closed before the end of the body\n");
    }
    g_string_append_c(s->text, '\n');
    reply_free(r);
}

void
session_note(struct session *session, const char *text)
{
    g_string_append_printf(session->text, "# %s\n\n", text);
}

void
session_request(struct session *session, const char *method, const char *path,
                const char *headers, const char *body)
{
    g_auto(GStrv) lines =
        g_strsplit(headers != NULL ? headers : "", "\r\n", -1);

    g_string_append_printf(session->text, "> %s %s\n", method, path);
    for (guint i = 0; lines[i] != NULL; i++) {
        if (lines[i][0] != '\0') {
            g_string_append_printf(session->text, "> %s\n", lines[i]);
        }
    }
    add_reply(session, client_request(session->system->gateways[0].address,
                                      method, path, headers, body));
}

void
session_raw(struct session *session, const char *what, const char *bytes,
            size_t len)
{
    g_string_append_printf(session->text, "> %s\n", what);
    add_reply(session,
              client_raw(session->system->gateways[0].address, bytes, len));
}

void
session_verb_finish(struct session *session, struct system_process *verb,
                    const char *const *args)
{
    g_autofree char *command = g_strjoinv(" ", (char **)args);
    g_autofree char *out = NULL;
    int status = system_verb_finish(verb, &out);

    g_string_append_printf(session->text, "$ greengageway %s\n%s(exit %d)\n\n",
                           command, out, status);
}

void
session_verb(struct session *session, const char *const *args)
{
    struct system_process verb;

    system_verb_start(session->system, &verb, args);
    session_verb_finish(session, &verb, args);
}

bool
session_end(struct session *session)
{
    g_autofree char *path =
        g_strdup_printf("tests/golden/%s.txt", session->name);
    const char *mode = g_getenv("GGW_GOLDEN");
    g_autofree char *golden = NULL;
    bool same;

    replace_all(session->text);
    if (g_strcmp0(mode, "write") == 0) {
        g_file_set_contents(path, session->text->str,
                            (gssize)session->text->len, NULL);
    }
    g_file_get_contents(path, &golden, NULL, NULL);
    same = g_strcmp0(golden, session->text->str) == 0;
    if (!same) {
        printf("%s differs from this transcript:\n%s\n", path,
               session->text->str);
    }
    g_string_free(session->text, TRUE);
    g_free(session->name);
    g_free(session);
    return same;
}
