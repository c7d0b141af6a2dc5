.PHONY: build test lint run check demo
build:
	cargo build --locked --release
test:
	cargo test --locked --workspace
lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
run: build
	target/release/walnuthatch --console
demo: build
	target/release/walnuthatch demo
check:
	bash .ci/run
