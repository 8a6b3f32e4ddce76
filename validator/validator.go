// Package validator defines the error for invalid settings, so that all commands
// and packages report them in the same form.
//
// # Usage
//
//	if s.Grace <= 0 {
//		return validator.NewSettingError("grace", s.Grace.String(), "a time above 0")
//	}
package validator

import "fmt"

// SettingError reports an invalid setting with its value and the values that are
// allowed.
type SettingError struct{ Setting, Value, Allowed string }

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %q; allowed: %s", e.Setting, e.Value, e.Allowed)
}

// NewSettingError returns the error for a setting whose value is not allowed.
func NewSettingError(setting, value, allowed string) *SettingError {
	return &SettingError{Setting: setting, Value: value, Allowed: allowed}
}
