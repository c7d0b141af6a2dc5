.PHONY: build test lint run check demo
# The names in KNOWN-RED.txt, each passed over by `make test` and printed.
red := $(shell sed -n 's/^\([a-z0-9_]*\) *|.*/\1/p' KNOWN-RED.txt)
build:
	cargo build --locked --release
test:
	@sed -n 's/^\([a-z0-9_]*\) *|/known red, passed over: \1 |/p' KNOWN-RED.txt
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
