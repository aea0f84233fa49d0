# Targets: all, demo, check, test, format, format-check, lint, sanitize, fuzz, fuzz-smoke, prove, bench, bench-plot,
# proto, clean.

CC       ?= gcc
BUILD    ?= build
PACKAGES  = glib-2.0 json-c libsodium libprotobuf-c libulfius
WARNINGS  = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wpointer-arith
CFLAGS   ?= -O2 -g
ALL_CFLAGS = -std=gnu11 -D_GNU_SOURCE $(CFLAGS) $(WARNINGS) -Iinclude -Isrc -Iproto $(shell pkg-config --cflags $(PACKAGES))
LIBS      = $(shell pkg-config --libs $(PACKAGES)) -lev -lhttp_parser -lpthread -lm
CHECK_LIBS = $(shell pkg-config --libs check)

LIB_SOURCES  = $(wildcard src/core/*.c src/edge/*.c src/client/*.c src/emulator/*.c)
GENERATED    = proto/wigeoncart.pb-c.c
CLI_SOURCES  = $(wildcard src/cli/*.c)
TEST_SOURCES = $(wildcard tests/test_*.c)
SOURCES      = $(LIB_SOURCES) $(CLI_SOURCES) $(TEST_SOURCES) $(wildcard tests/fuzz/*.c)
HEADERS      = $(wildcard include/wigeoncart/*.h src/*/*.h tests/*.h tests/fuzz/*.h)

LIB_OBJECTS  = $(patsubst %.c,$(BUILD)/%.o,$(LIB_SOURCES) $(GENERATED))
CLI_OBJECTS  = $(patsubst %.c,$(BUILD)/%.o,$(CLI_SOURCES))
TEST_PROGRAMS = $(patsubst tests/%.c,$(BUILD)/tests/%,$(TEST_SOURCES))

.PHONY: all demo check test format format-check lint sanitize fuzz fuzz-smoke prove bench bench-plot proto clean
.SECONDARY:

all: $(BUILD)/wigeoncart $(TEST_PROGRAMS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $<"
	@$(CC) $(ALL_CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/libwigeoncart.a: $(LIB_OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/wigeoncart: $(CLI_OBJECTS) $(BUILD)/libwigeoncart.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(BUILD)/libwigeoncart.a
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(CFLAGS) $^ -o $@ $(LIBS) $(CHECK_LIBS)

# The generated code is committed; this target is for changes of the .proto file only.
proto:
	cd proto && protoc-c --c_out=. wigeoncart.proto

format:
	@clang-format -i $(SOURCES) $(HEADERS)

format-check:
	@clang-format --dry-run --Werror $(SOURCES) $(HEADERS)

lint:
	@cppcheck --quiet --error-exitcode=1 --std=c11 --enable=warning,portability --inline-suppr \
	  --suppress=missingIncludeSystem -Iinclude -Isrc $(LIB_SOURCES) $(CLI_SOURCES)
	@printf '%s\n' $(LIB_SOURCES) $(CLI_SOURCES) | xargs -P 4 -n 4 sh -c \
	  'clang-tidy --quiet "$$@" -- $(filter-out -Werror,$(ALL_CFLAGS)) 2>/dev/null' lint

check: test

test: all
	@tests/run_tests.sh $(BUILD)/tests

# Installs what is missing, builds, and serves the two sample deployments.
demo:
	@./install-dependencies.sh
	@$(MAKE) --no-print-directory $(BUILD)/wigeoncart
	@tests/process/demo.sh

prove: $(BUILD)/wigeoncart
	@tests/process/prove.sh

sanitize:
	$(MAKE) BUILD=build/sanitize CFLAGS="-O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all" test

# Only the results go to standard output, so that BENCH_FLAGS=--json can be piped.
bench:
	@$(MAKE) --no-print-directory $(BUILD)/wigeoncart >&2
	@$(BUILD)/wigeoncart bench $(BENCH_FLAGS)

bench-plot:
	@$(MAKE) --no-print-directory $(BUILD)/wigeoncart >&2
	@$(BUILD)/wigeoncart bench --json --steady-only $(BENCH_FLAGS) > $(BUILD)/bench.jsonl
	@sed -E 's/.*"deployment":"([^"]*)".*"service":"([^"]*)".*"policy":"([^"]*)".*"load":([0-9.]*).*"p99_response_us":([0-9]*).*"worth_on_time":([0-9.]*).*/\1\/\2\t\3\t\4\t\5\t\6/' \
	  $(BUILD)/bench.jsonl | awk -F '\t' -v OFS='\t' '{ $$3 *= 100; $$4 /= 1000; print }' > $(BUILD)/bench.tsv
	@gnuplot docs/bench.gnuplot

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
