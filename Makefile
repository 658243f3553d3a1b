.PHONY: demo test check

demo:
	scripts/demo.sh

test:
	scripts/test.sh

check:
	scripts/check.sh
