# Builds redwingpitch. `make demo` and `make check` are the two commands of
# the README; each installs what it needs first.
CC = gcc
PKGS = libh2o libuv popt log4c glib-2.0 libtirpc json-c libxxhash zlib
CSTD = -std=gnu11 -D_GNU_SOURCE
WARN = -Wall -Wextra -Werror
OPT ?= -O2 -g
B ?= build
CPPFLAGS += $(shell pkg-config --cflags $(PKGS) | sed 's/-I/-isystem /g')
LDLIBS = -Wl,--as-needed $(shell pkg-config --libs $(PKGS)) -lssl -lcrypto -lm
CFLAGS = $(CSTD) $(WARN) $(OPT) $(SAN)

DECIDE = $(wildcard decide/*.c)
WIRE = $(wildcard wire/*.c)
PLATFORM = $(wildcard platform/*.c)
LIB_OBJ = $(patsubst %.c,$(B)/%.o,$(DECIDE) $(WIRE))
PLATFORM_OBJ = $(patsubst %.c,$(B)/%.o,$(PLATFORM))
BINS = rw-entryd rw-proxyd rw-admind rwctl rw-load rw-sim rw-fake-platform \
       rw-fake-engine rw-fake-service

all: $(addprefix $(B)/,$(BINS))

$(B)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

# rpcgen's output has unused variables.
$(B)/wire/msg_xdr.o: WARN = -Wall -Wno-unused-variable

$(B)/librw.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

define link
$(CC) $(CFLAGS) $(filter %.o,$^) $(filter %.a,$^) $(LDLIBS) -o $@
endef

$(B)/rw-fake-platform: $(B)/fakes/platform.o $(B)/fakes/fake.o $(B)/librw.a
	$(link)
$(B)/rw-fake-engine: $(B)/fakes/engine.o $(B)/fakes/token.o \
		$(B)/fakes/fake.o $(B)/librw.a
	$(link)
$(B)/rw-fake-service: $(B)/fakes/service.o $(B)/fakes/fake.o $(B)/librw.a
	$(link)
$(B)/rw-entryd: $(patsubst %.c,$(B)/%.o,$(wildcard daemon/entryd*.c)) \
		$(B)/librw.a
	$(link)
$(B)/rw-proxyd: $(patsubst %.c,$(B)/%.o,$(wildcard daemon/proxyd*.c)) \
		$(B)/daemon/mirror.o $(B)/daemon/hop.o \
		$(B)/daemon/startq.o \
		$(B)/daemon/streamlog.o $(B)/daemon/confirm.o \
		$(B)/daemon/ident.o $(B)/daemon/rollout.o \
		$(PLATFORM_OBJ) $(B)/librw.a
	$(link)
$(B)/rw-admind: $(patsubst %.c,$(B)/%.o,$(wildcard daemon/admind*.c)) \
		$(B)/librw.a
	$(link)
$(B)/rwctl: $(patsubst %.c,$(B)/%.o,$(wildcard daemon/ctl*.c)) $(B)/librw.a
	$(link)
$(B)/rw-load: $(patsubst %.c,$(B)/%.o,$(wildcard daemon/load*.c)) \
		$(B)/fakes/token.o $(B)/librw.a
	$(link)

$(B)/rw-sim: $(patsubst %.c,$(B)/%.o,$(wildcard sim/*.c)) $(B)/librw.a
	$(link)

-include $(shell find $(B) -name '*.d' 2>/dev/null)
.PHONY: all

# Tests.
TEST_BINS = $(B)/tests/sim-replica $(B)/tests/unit $(B)/tests/sim-member \
	    $(B)/tests/sim-feed $(B)/tests/sim-spread $(B)/tests/sim-origin \
	    $(B)/tests/sim-permit $(B)/tests/sim-brittle $(B)/tests/sim-poison \
	    $(B)/tests/sim-links $(B)/tests/sim-rollout $(B)/tests/sim-route \
	    $(B)/tests/unit-proxy $(B)/tests/sim-connect \
	    $(B)/tests/unit-quota $(B)/tests/unit-scale $(B)/tests/unit-speed \
	    $(B)/tests/unit-permit $(B)/tests/unit-links \
	    $(B)/tests/unit-build $(B)/tests/unit-rpc \
	$(B)/tests/unit-format $(B)/tests/unit-drill $(B)/tests/http \
	    $(B)/tests/platform
$(B)/tests/sim-replica $(B)/tests/sim-member $(B)/tests/sim-route \
	$(B)/tests/sim-feed $(B)/tests/sim-spread $(B)/tests/sim-origin \
	$(B)/tests/sim-permit $(B)/tests/sim-brittle $(B)/tests/sim-links \
	$(B)/tests/sim-rollout $(B)/tests/sim-poison $(B)/tests/sim-connect: \
		$(B)/tests/%: $(B)/tests/%.o $(B)/sim/sim.o $(B)/librw.a
	$(link)
$(B)/tests/sim-feed $(B)/tests/sim-origin $(B)/tests/sim-permit \
	$(B)/tests/sim-brittle $(B)/tests/sim-links $(B)/tests/sim-rollout: \
		$(B)/tests/sim-args.o
$(B)/tests/unit $(B)/tests/unit-proxy $(B)/tests/unit-quota \
	$(B)/tests/unit-scale $(B)/tests/unit-speed $(B)/tests/unit-permit $(B)/tests/unit-links \
	$(B)/tests/unit-build $(B)/tests/unit-rpc \
	$(B)/tests/unit-format $(B)/tests/unit-drill $(B)/tests/http \
	$(B)/tests/platform: \
		$(B)/tests/%: $(B)/tests/%.o $(B)/tests/run.o $(PLATFORM_OBJ) \
		$(B)/librw.a
	$(CC) $(CFLAGS) $^ $(LDLIBS) $(shell pkg-config --libs check) -o $@
tests: $(TEST_BINS)

# The two commands of the README.
demo:
	@tools/packages.sh
	@$(MAKE) --no-print-directory -s -j$(shell nproc) all
	@tools/demo.py

check:
	@tools/packages.sh
	@$(MAKE) --no-print-directory -s -j$(shell nproc) all tests
	@B=$(B) tools/check.sh

# Long randomised runs: make soak SEED=1 RUNS=10000
SEED ?= 1
RUNS ?= 10000
soak: tests
	$(B)/tests/sim-replica --seed $(SEED) --runs $(RUNS)

# Faults at random against rw-proxyd: make soak-faults SEED=1 RUNS=50
SECONDS ?= 10
soak-faults: all
	tests/proxysoak.py --seed $(SEED) --runs $(RUNS) --seconds $(SECONDS)

# Every measurement; see docs/PROOFS.md and docs/CAPACITY.md.
bench: all tests
	tools/bench.py

# A build with the address and undefined-behaviour sanitizers.
asan:
	$(MAKE) B=build-asan SAN="-fsanitize=address,undefined" OPT="-O1 -g" \
		all tests

# Generated files; they are committed, so that a build needs no generator.
generate:
	tools/gen-settings.py schema/settings.json .
	clang-format -i wire/conf-gen.[ch]
rpcgen:
	cd wire && rpcgen -h msg.x >msg.h && rpcgen -c msg.x >msg_xdr.c

format:
	tools/format.sh --fix

clean:
	rm -rf build build-asan build-variant

.PHONY: tests demo check soak soak-faults bench asan generate rpcgen format clean
