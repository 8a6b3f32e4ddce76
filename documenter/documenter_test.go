package documenter_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/documenter"
)

func TestDocumenter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "documenter")
}

var _ = Describe("Reference", func() {
	// Guards against a reference that omits a key that hosts read.
	It("lists the keys of all types that Config refers to", func() {
		src := "package p\n\ntype (\n\t// Config is all.\n\tConfig struct {\n\t\t// Parts are the parts.\n\t\tParts []Part `yaml:\"parts\"`\n\t}\n" +
			"\t// Part is one.\n\tPart struct {\n\t\tIntent `yaml:\",inline\"`\n\t\tSize int `yaml:\"size,omitempty\"`\n\t}\n" +
			"\tIntent struct { Why string `yaml:\"why\"` }\n\tOther struct { X int `yaml:\"x\"` }\n)\n"
		path := filepath.Join(GinkgoT().TempDir(), "p.go")
		Expect(os.WriteFile(path, []byte(src), 0o600)).To(Succeed())
		text, err := documenter.Reference(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(ContainSubstring("| `parts` | list of Part | Parts are the parts. |"))
		Expect(text).To(ContainSubstring("| `why` | string |  |\n| `size` | integer |"))
		Expect(text).NotTo(ContainSubstring("Other"))
	})

	It("rejects a source without a Config type", func() {
		path := filepath.Join(GinkgoT().TempDir(), "p.go")
		Expect(os.WriteFile(path, []byte("package p\n"), 0o600)).To(Succeed())
		_, err := documenter.Reference(path)
		Expect(err).To(BeAssignableToTypeOf(&documenter.SourceError{}))
	})
})
