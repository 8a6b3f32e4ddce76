// Package validator holds the error of settings that cannot be used, so that
// all commands and packages name a wrong setting in the same words.
//
// # Usage
//
//	if s.Grace <= 0 {
//		return validator.Wrong("grace", s.Grace.String(), "a time above 0")
//	}
package validator

import "fmt"

// SettingError says which setting has which wrong value and what is allowed.
type SettingError struct{ Setting, Value, Allowed string }

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %q; allowed: %s", e.Setting, e.Value, e.Allowed)
}

// Wrong returns the error of a setting whose value is not allowed.
func Wrong(setting, value, allowed string) *SettingError {
	return &SettingError{Setting: setting, Value: value, Allowed: allowed}
}
