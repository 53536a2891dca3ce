# Build, tests and demo; the main targets are `make demo` and `make test`.
#
#   make test SANITIZE=address,undefined   builds and tests with sanitizers
#   make soak SEED=1 CASES=2000            the coordinator's property tests with more cases
#   make fuzz TARGET=record FUZZ_SECONDS=60   a decoder under libFuzzer (needs clang)
#   make fault-soak SEED=1 SECONDS=20 NODES=6   the programs under random faults
comma := ,
BUILD := build$(if $(SANITIZE),-$(subst $(comma),-,$(SANITIZE)))
SUDO := $(if $(filter 0,$(shell id -u)),,sudo)
PACKAGES := $(shell cat packages.txt)
CASES ?= 2000
SEED ?= 1
SECONDS ?= 20
NODES ?= 6

TARGET ?= record
FUZZ_SECONDS ?= 60

.PHONY: all packages build demo test soak fault-soak fault-soak-kept fuzz format lint clean

all: build

# Installs missing packages; does nothing if all are installed.
packages:
	@dpkg -s $(PACKAGES) > /dev/null 2>&1 || \
	  ($(SUDO) apt-get update -qq && \
	   DEBIAN_FRONTEND=noninteractive $(SUDO) apt-get install -y -qq \
	     --no-install-recommends $(PACKAGES) > /dev/null)

build: packages
	@cmake -S . -B $(BUILD) -G Ninja -DSANITIZE="$(SANITIZE)" > /dev/null
	@cmake --build $(BUILD)

demo: build
	@bash demo/demo.sh $(BUILD)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4 $(CTEST_FLAGS)

soak: build
	RC_PARAMS="seed=$(SEED) max_success=$(CASES)" $(BUILD)/coordinator_property_test

fault-soak: build
	$(BUILD)/fault_soak --seed $(SEED) --seconds $(SECONDS) --nodes $(NODES) \
	  --programs $(BUILD)

# Runs the seeds of soak/SEEDS, which broke a promise in the past.
fault-soak-kept: build
	@grep -v '^#' soak/SEEDS | while read -r seed _; do \
	  $(BUILD)/fault_soak --seed $$seed --programs $(BUILD) || exit 1; done

# Runs one target under libFuzzer with sanitizers. New findings are written to the
# current directory; a kept one goes to fuzz/findings/$(TARGET).
fuzz:
	@CXX=clang++ cmake -S . -B build-fuzz -G Ninja -DFUZZ=ON \
	  -DSANITIZE="address,undefined,fuzzer-no-link" > /dev/null
	@cmake --build build-fuzz --target fuzz_$(TARGET) fuzz_replay
	@build-fuzz/fuzz_replay --target $(TARGET) --write build-fuzz/corpus/$(TARGET)
	build-fuzz/fuzz_$(TARGET) -max_total_time=$(FUZZ_SECONDS) -max_len=65536 -timeout=5 \
	  -close_fd_mask=2 build-fuzz/corpus/$(TARGET)

format:
	@git ls-files '*.cpp' '*.hpp' | xargs clang-format -i

lint: build
	@git ls-files 'src/*.cpp' 'standins/*.cpp' 'bench/*.cpp' 'soak/*.cpp' 'fuzz/*.cpp' 'tests/*.cpp' | \
	  xargs -P $$(nproc) -n 2 clang-tidy -p $(BUILD) --quiet 2> /dev/null

clean:
	rm -rf build build-*
