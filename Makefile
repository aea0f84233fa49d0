# Targets: all, deploy, demo, check, test, format, format-check, lint, sanitize, fuzz, fuzz-smoke, mutants, prove, bench,
# bench-plot, bench-flows, bench-flows-plot, speed, slopes, slopes-processes, proto, clean.

CC       ?= gcc
BUILD    ?= build
PACKAGES  = glib-2.0 json-c libsodium libprotobuf-c
WARNINGS  = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wpointer-arith
CFLAGS   ?= -O2 -g
ALL_CFLAGS = -std=gnu11 -D_GNU_SOURCE $(CFLAGS) $(WARNINGS) -Iinclude -Isrc -Iplatform -Iproto $(shell pkg-config --cflags $(PACKAGES))
LIBS      = $(shell pkg-config --libs $(PACKAGES)) -lgsl -lgslcblas -lev -lhttp_parser -lz -lpthread -ldl -lm
CHECK_LIBS = $(shell pkg-config --libs check)

LIB_SOURCES  = $(wildcard src/core/*.c src/forward/*.c src/edge/*.c src/client/*.c src/emulator/*.c platform/*.c)
GENERATED    = proto/wigeoncart.pb-c.c
CLI_SOURCES  = $(wildcard src/cli/*.c)
TEST_SOURCES = $(wildcard tests/test_*.c)
SOURCES      = $(LIB_SOURCES) $(CLI_SOURCES) $(TEST_SOURCES) $(wildcard tests/fuzz/*.c tests/soak/*.c)
HEADERS      = $(wildcard include/wigeoncart/*.h src/*/*.h platform/*.h tests/*.h tests/fuzz/*.h tests/soak/*.h)

LIB_OBJECTS  = $(patsubst %.c,$(BUILD)/%.o,$(LIB_SOURCES) $(GENERATED))
CLI_OBJECTS  = $(patsubst %.c,$(BUILD)/%.o,$(CLI_SOURCES))
TEST_PROGRAMS = $(patsubst tests/%.c,$(BUILD)/tests/%,$(TEST_SOURCES))

.PHONY: all deploy demo check test format format-check lint sanitize fuzz fuzz-smoke fuzz-programs mutants prove soak bench \
  bench-plot bench-flows bench-flows-plot speed slopes slopes-processes proto clean
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

# Builds the binary for the operators' platform in target/. All libraries except libc are linked statically, because each
# shared library costs every instance memory and start-up time.
DEPLOY_CFLAGS = -O2 -g -ffunction-sections -fdata-sections -fno-pie
DEPLOY_LIBS   = -Wl,-Bstatic -lgsl -lgslcblas -lev -lhttp_parser -ljson-c -lprotobuf-c -lsodium -lglib-2.0 -lpcre2-8 -lz -Wl,-Bdynamic \
  -lpthread -ldl -lm
deploy:
	@$(MAKE) --no-print-directory BUILD=target CFLAGS="$(DEPLOY_CFLAGS)" \
	  LIBS="-no-pie -Wl,--gc-sections -Wl,-z,now $(DEPLOY_LIBS)" target/wigeoncart

# Regenerates the protobuf code. The generated code is committed, so this is needed only after a change of the .proto file.
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

# All tests: unit tests without and with sanitizers, fuzzing with a fixed seed, the demo, and the soak test with the seeds
# in tests/soak/regressions.txt.
check: test sanitize fuzz-smoke
	@$(MAKE) --no-print-directory demo
	@$(MAKE) --no-print-directory soak

test: all
	@tests/run_tests.sh $(BUILD)/tests

# Installs missing dependencies, builds, and serves the two sample deployments.
demo:
	@./install-dependencies.sh
	@$(MAKE) --no-print-directory $(BUILD)/wigeoncart
	@tools/demo.sh

# Compares the packet path of a real instance with that of a bare relay.
speed: $(BUILD)/wigeoncart
	@tools/speed.sh

# Measures the control plane in virtual time, two runs in parallel, with different numbers of instances per domain, hosts
# and domains and different rates of change.
SLOPES_SIZES = --instances=8 --instances=60 --instances=240,--steady-s=20 \
  --instances=8,--hosts=1000 --instances=8,--hosts=7400 --instances=60,--hosts=1000 \
  --instances=60,--changes-per-day=17200,--steady-s=20 --instances=60,--changes-per-day=43000,--steady-s=20 \
  --domains=5,--instances=8,--outage-s=360 --domains=5,--instances=24,--steady-s=20,--outage-s=120
slopes: $(BUILD)/wigeoncart
	@printf '%s\n' $(SLOPES_SIZES) | xargs -P 2 -I '{}' sh -c '$(BUILD)/wigeoncart slopes $$(echo {} | tr , " ")'

# Measures the control plane of real processes on loopback, with 8, 24 and 60 instances.
slopes-processes: $(BUILD)/wigeoncart
	@tools/slopes.sh

# Soak test: real processes under random faults. The seed determines the faults; tests/soak/regressions.txt lists the
# seeds to run, which include all that have failed before.
SOAK_SECONDS ?= 12
SOAK_SEEDS   ?= $(shell sed -e 's/ .*//' tests/soak/regressions.txt)
SOAK_JOBS    ?= 2
SOAK_OBJECTS  = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c))

$(BUILD)/tests/soak/%.o: ALL_CFLAGS += -Itests/soak

$(BUILD)/soak: $(SOAK_OBJECTS) $(BUILD)/libwigeoncart.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

soak: $(BUILD)/soak $(BUILD)/wigeoncart
	@printf '%s\n' $(SOAK_SEEDS) | xargs -P $(SOAK_JOBS) -I '{}' $(BUILD)/soak $(BUILD)/wigeoncart '{}' $(SOAK_SECONDS)

prove: $(BUILD)/wigeoncart
	@tests/process/prove.sh

sanitize:
	@$(MAKE) -j4 --no-print-directory BUILD=build/sanitize CFLAGS="-O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all" all
	@tests/run_tests.sh build/sanitize/tests

# Build messages go to standard error, so that standard output has only the results and BENCH_FLAGS=--json can be piped.
bench:
	@$(MAKE) --no-print-directory $(BUILD)/wigeoncart >&2
	@$(BUILD)/wigeoncart bench $(BENCH_FLAGS)

bench-plot:
	@$(MAKE) --no-print-directory $(BUILD)/wigeoncart >&2
	@$(BUILD)/wigeoncart bench --json --steady-only $(BENCH_FLAGS) > $(BUILD)/bench.jsonl
	@sed -E 's/.*"deployment":"([^"]*)".*"service":"([^"]*)".*"policy":"([^"]*)".*"load":([0-9.]*).*"p99_response_us":([0-9]*).*"worth_on_time":([0-9.]*).*/\1\/\2\t\3\t\4\t\5\t\6/' \
	  $(BUILD)/bench.jsonl | awk -F '\t' -v OFS='\t' '{ $$3 *= 100; $$4 /= 1000; print }' > $(BUILD)/bench.tsv
	@gnuplot docs/bench.gnuplot

# Compares admission policies of instances that forward packets, in virtual time.
bench-flows:
	@$(MAKE) --no-print-directory $(BUILD)/wigeoncart >&2
	@$(BUILD)/wigeoncart bench-flows $(BENCH_FLAGS)

bench-flows-plot:
	@$(MAKE) --no-print-directory $(BUILD)/wigeoncart >&2
	@$(BUILD)/wigeoncart bench-flows --json $(BENCH_FLAGS) | \
	  jq -r '.phases[.judged_phase] as $$p | [.scenario, .policy, $$p.in_time / $$p.requests] | @tsv' | \
	  awk -F '\t' -v OFS='\t' '!($$1 in row) { row[$$1] = $$1; order[++count] = $$1 } { row[$$1] = row[$$1] OFS $$3 } \
	    END { for (i = 1; i <= count; i++) print row[order[i]] }' > $(BUILD)/bench-flows.tsv
	@gnuplot docs/bench-flows.gnuplot

# Fuzzing: fuzz-smoke runs pseudo-random inputs from a fixed seed (gcc), fuzz runs libFuzzer (clang).
FUZZ_SECONDS ?= 120
FUZZ_RUNS    ?= 400
FUZZ_SEED    ?= 1
FUZZ_CLANG   ?= clang-14
FUZZ_FLEET   = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/fuzz/fleet*.c) tests/fuzz/oracle.c tests/fuzz/fuzz_fleet.c)
FUZZ_PARSERS = $(BUILD)/tests/fuzz/fuzz_parsers.o
FUZZ_MAIN   ?= $(BUILD)/tests/fuzz/fuzz_smoke.o

$(BUILD)/tests/fuzz/%.o: ALL_CFLAGS += -Itests

$(BUILD)/fuzz_fleet: $(FUZZ_FLEET) $(FUZZ_MAIN) $(BUILD)/libwigeoncart.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) $(FUZZ_LDFLAGS) $^ -o $@ $(LIBS)

$(BUILD)/fuzz_parsers: $(FUZZ_PARSERS) $(FUZZ_MAIN) $(BUILD)/libwigeoncart.a
	@echo "LD $@"
	@$(CC) $(CFLAGS) $(FUZZ_LDFLAGS) $^ -o $@ $(LIBS)

fuzz-programs: $(BUILD)/fuzz_fleet $(BUILD)/fuzz_parsers

fuzz-smoke:
	@$(MAKE) --no-print-directory BUILD=build/sanitize \
	  CFLAGS="-O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all" fuzz-programs
	build/sanitize/fuzz_fleet $(FUZZ_RUNS) $(FUZZ_SEED)
	build/sanitize/fuzz_parsers 20000 $(FUZZ_SEED)

fuzz:
	@$(MAKE) --no-print-directory BUILD=build/libfuzzer CC=$(FUZZ_CLANG) FUZZ_LDFLAGS=-fsanitize=fuzzer \
	  FUZZ_MAIN=build/libfuzzer/tests/fuzz/fuzz_campaign.o \
	  CFLAGS="-O1 -g -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all" fuzz-programs
	@mkdir -p build/corpus/fleet build/corpus/parsers
	build/libfuzzer/fuzz_parsers -max_total_time=$$(($(FUZZ_SECONDS) / 4)) -print_final_stats=1 \
	  -artifact_prefix=build/ build/corpus/parsers
	build/libfuzzer/fuzz_fleet -max_total_time=$(FUZZ_SECONDS) -print_final_stats=1 -timeout=60 -max_len=400 -len_control=0 \
	  -artifact_prefix=build/ build/corpus/fleet

mutants:
	tests/fuzz/run_mutants.sh

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
