package validator_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/validator"
)

func TestValidator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "validator")
}

var _ = Describe("SettingError", func() {
	// Guards against an error that leaves the operator to guess what to write
	// instead.
	It("names the setting, its value and what is allowed", func() {
		err := validator.Wrong("grace", "0s", "a time above 0")
		Expect(err.Error()).To(Equal(`setting grace is "0s"; allowed: a time above 0`))
	})
})
