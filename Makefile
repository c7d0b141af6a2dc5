.PHONY: build test lint run check
build:
	cargo build --locked --release
test:
	cargo test --locked
lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings
run: build
	target/release/walnuthatch --console
check:
	bash .ci/run
