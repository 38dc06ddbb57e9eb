# Sources are found by directory; a new file needs no change here.
#   make          optimised build in build/release
#   make check    checks packages, format and lint; builds and runs the soak
#                 and all tests with sanitizers
#   make demo     runs the Cairo example and takes a failure domain out
#   make soak     runs the randomized soak with the seeds of CI
#   make bench    prints benchmark results, one "name value unit" per line

VARIANT ?= release
OUT ?= build/$(VARIANT)

DIRS := kernel common decide http proxy peers slots platform config claims \
	customers rollouts ctl
LIB_SRC := $(wildcard $(addsuffix /*.c,$(DIRS)))
MAIN_SRC := $(wildcard main/*.c)
STANDIN_SRC := $(wildcard standins/*.c)
STANDIN_LIB_SRC := $(wildcard standins/*/*.c)
BENCH_SRC := $(wildcard bench/*.c)
BENCH_LIB_SRC := $(wildcard bench/*/*.c)
TEST_SRC := $(wildcard tests/test_*.c)
TEST_LIB_SRC := $(filter-out $(TEST_SRC),$(wildcard tests/*.c))
SOAK_SRC := $(wildcard tests/soak/*.c)
READERS_SRC := $(wildcard tests/readers/*.c)
HEADERS := $(wildcard $(addsuffix /*.h,$(DIRS) main standins standins/client \
	standins/store tests tests/readers tests/soak bench bench/policy))
ALL_SRC := $(LIB_SRC) $(MAIN_SRC) $(STANDIN_SRC) $(STANDIN_LIB_SRC) $(BENCH_SRC) \
	$(BENCH_LIB_SRC) $(TEST_SRC) $(TEST_LIB_SRC) $(READERS_SRC) $(SOAK_SRC)

# The modules of the product and of the tests are queried separately:
# pkg-config prints no flags at all when one of the modules is missing. The
# rules of MODULES and TEST_MODULES report a missing module by name.
PKGS := libh2o libuv msgpack glib-2.0 log4c jansson libxxhash zlib
TEST_PKGS := cunit
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
# Recursive, so that only the rules that use them (tests, lint) need the
# modules of the tests.
TEST_PKG_CFLAGS = $(shell pkg-config --cflags $(TEST_PKGS))
TEST_PKG_LIBS = $(shell pkg-config --libs $(TEST_PKGS))
# Headers of packages are included as system headers, because h2o's cause
# warnings. -iquote keeps a directory such as "http" out of <> lookups.
CPPFLAGS += -D_GNU_SOURCE -iquote . $(subst -I,-isystem ,$(PKG_CFLAGS))
CFLAGS_COMMON := -std=gnu11 -g -Wall -Wextra -Werror -Wshadow \
	-Wstrict-prototypes -Wmissing-prototypes -Wno-unused-parameter
CFLAGS_release := -O2
CFLAGS_asan := -O1 -fsanitize=address,undefined -fno-omit-frame-pointer \
	-fno-sanitize-recover=undefined
CFLAGS_ALL := $(CFLAGS_COMMON) $(CFLAGS_$(VARIANT)) $(CFLAGS)
# libhttp-parser-dev has no pkg-config file.
LDLIBS := $(PKG_LIBS) -lhttp_parser -lssl -lcrypto -lm -lpthread

LIB := $(OUT)/libgreengageway.a
LIB_OBJ := $(LIB_SRC:%.c=$(OUT)/%.o)
BINARY := $(OUT)/greengageway
STANDINS := $(STANDIN_SRC:standins/%.c=$(OUT)/standins/%)
STANDIN_LIB_OBJ := $(STANDIN_LIB_SRC:%.c=$(OUT)/%.o)
BENCHES := $(BENCH_SRC:bench/%.c=$(OUT)/bench/%)
TESTS := $(TEST_SRC:tests/%.c=$(OUT)/tests/%)
TEST_OBJ := $(TEST_SRC:%.c=$(OUT)/%.o) $(TEST_LIB_SRC:%.c=$(OUT)/%.o)
TEST_LIB_OBJ := $(TEST_LIB_SRC:%.c=$(OUT)/%.o)
SOAK := $(OUT)/soak
MODULES := $(OUT)/modules
TEST_MODULES := $(OUT)/test-modules

.PHONY: all benches packages build-packages format lint test soak check demo bench clean
.SECONDARY:

all: $(BINARY) $(STANDINS)

benches: $(BENCHES)

$(MODULES): Makefile
	@pkg-config --print-errors --exists $(PKGS)
	@mkdir -p $(@D)
	@touch $@

$(TEST_MODULES): Makefile
	@pkg-config --print-errors --exists $(TEST_PKGS)
	@mkdir -p $(@D)
	@touch $@

$(TEST_OBJ): CPPFLAGS += $(TEST_PKG_CFLAGS)
$(TEST_OBJ): | $(TEST_MODULES)

$(OUT)/%.o: %.c | $(MODULES)
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS_ALL) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	@rm -f $@
	$(AR) rcs $@ $^

$(BINARY): $(MAIN_SRC:%.c=$(OUT)/%.o) $(LIB)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LDLIBS)

$(OUT)/standins/%: $(OUT)/standins/%.o $(STANDIN_LIB_OBJ) $(LIB)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LDLIBS)

$(OUT)/bench/%: $(OUT)/bench/%.o $(BENCH_LIB_SRC:%.c=$(OUT)/%.o) $(LIB)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LDLIBS)

$(OUT)/tests/%: $(OUT)/tests/%.o $(TEST_LIB_OBJ) $(LIB)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LDLIBS) $(TEST_PKG_LIBS)

$(OUT)/tests/test_soak_record: $(OUT)/tests/soak/record.o

# This test has a model of the store of its own.
$(OUT)/tests/test_readers_change: $(READERS_SRC:%.c=$(OUT)/%.o)
$(OUT)/tests/test_readers_change: LDLIBS += \
	$(LIB) -Wl,--wrap=ggw_store_feed,--wrap=ggw_store_range

$(SOAK): $(SOAK_SRC:%.c=$(OUT)/%.o) $(LIB)
	$(CC) $(CFLAGS_ALL) -o $@ $^ $(LDLIBS)

packages:
	scripts/install-packages

format:
	clang-format -i $(ALL_SRC) $(HEADERS)

lint:
	@clang-format --dry-run -Werror $(ALL_SRC) $(HEADERS)
	@printf '%s\n' $(ALL_SRC) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- -std=gnu11 $(CPPFLAGS) $(TEST_PKG_CFLAGS) \
		2>/dev/null' _

# The platform, backend servers and gateways that a test starts come from the
# same build, so a sanitizer report in any of them fails the test.
test: $(BINARY) $(STANDINS) $(TESTS)
	scripts/run-tests $(OUT)

# SEEDS="1 2 3" selects other seeds; JOBS runs in parallel.
JOBS ?= 3
SEEDS ?= $(shell sed 's/\#.*//' tests/soak/seeds.txt | cut -f 1)
soak: $(BINARY) $(STANDINS) $(SOAK)
	scripts/soak $(OUT) $(JOBS) $(SEEDS)

# Checks that the build works on a clean machine, with nothing but the packages
# listed in deploy/system.toml.
build-packages: packages
	tests/packages/test-check-packages
	tests/packages/check-packages .

check: build-packages
	$(MAKE) lint
	$(MAKE) -j8 VARIANT=release all benches
	$(MAKE) -j8 VARIANT=asan soak
	$(MAKE) -j8 VARIANT=asan test

demo: packages
	$(MAKE) -j8 VARIANT=release all
	scripts/demo build/release

bench: packages
	@$(MAKE) -j8 -s VARIANT=release all $(BENCHES)
	@scripts/bench build/release

clean:
	rm -rf build

-include $(wildcard $(OUT)/*/*.d $(OUT)/*/*/*.d)
