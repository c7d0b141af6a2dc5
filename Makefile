.PHONY: build test lint run check demo
# Names of the tests in KNOWN-RED.txt, which `make test` skips. It prints all entries, also those that it never runs.
red := $(shell sed -n 's/^\([a-z0-9_]*\) *|.*/\1/p' KNOWN-RED.txt)
build:
	cargo build --locked --release
test:
	@sed -n '/^#/!s/^[^|]*|/known red, passed over: &/p' KNOWN-RED.txt
	cargo test --locked --workspace -- --exact $(red:%=--skip %)
lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
run: build
	target/release/walnuthatch --console
demo: build
	target/release/walnuthatch demo
check:
	bash .ci/run
