BUILD := build

.PHONY: all setup test run bench style sanitize soak deploy clean

all: setup
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

setup:
	support/install-packages

test: all
	support/run-tests $(BUILD)

run: all
	support/run-demo $(BUILD)

bench: all
	support/run-benches $(BUILD)

# Builds the programs of the users' platform as its deploy file says.
deploy: setup
	support/build-deploy

# Ten seconds under faults for each seed that has failed before.
soak: all
	support/run-soak $(BUILD) 10

style: all
	support/check-style $(BUILD)

sanitize: setup
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DFIGWIND_SANITIZE=ON \
	  -DFIGWIND_DECISIONS_ONLY=ON -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD)-sanitize
	$(BUILD)-sanitize/decision-tests --gtest_brief=1

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize
