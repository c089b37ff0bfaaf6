# Shortcuts for the usual commands; CMake and Ninja do the build. DEVELOPERS.md describes each target.
BUILD_DIR ?= build
export BUILD_DIR

.PHONY: all deps configure build test lint format demo bench bench-quick soak fuzz clean

all: build

deps:
	@tools/install-deps.sh

configure: deps
	@cmake -S . -B $(BUILD_DIR) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >$(BUILD_DIR).configure.log 2>&1 || { cat $(BUILD_DIR).configure.log; exit 1; }
	@rm -f $(BUILD_DIR).configure.log

build: configure
	@cmake --build $(BUILD_DIR)

format:
	@tools/format.sh

lint: build
	@tools/format.sh --check
	@tools/lint.sh

test: build
	@tools/format.sh --check
	@tools/lint.sh
	@ctest --test-dir $(BUILD_DIR) --output-on-failure -j 4
	@tools/soak.sh soak/regression-seeds.txt

demo: build
	@tools/demo.sh

bench-quick: build
	@tools/bench.sh quick

bench: build
	@tools/bench.sh full

clean:
	@rm -rf $(BUILD_DIR)

# The first seed is the current time, so that each run has new fault schedules; FIRST=N repeats the schedules from seed N.
soak: build
	@tools/soak.sh $(or $(SEEDS),10) $(FIRST)

# CASES=N mutated inputs for each decoder of the stream path; CI plays a few thousand with a fixed seed. Those of the proxy path have fixed
# rounds and seeds. SANITIZE=1 builds with the address and undefined
# behaviour sanitizers, in a folder of its own.
fuzz:
	@$(MAKE) --no-print-directory deps
	@tools/fuzz.sh $(or $(CASES),1000000) $(or $(SEED),$(shell date +%s)) $(SANITIZE)
