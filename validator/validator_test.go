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
	// Guards against an error that does not tell the operator which values are
	// allowed.
	It("includes the setting, its value and the allowed values", func() {
		err := validator.NewSettingError("grace", "0s", "a time above 0")
		Expect(err.Error()).To(Equal(`setting grace is "0s"; allowed: a time above 0`))
	})
})
