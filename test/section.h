// Nested sections of a test, named in the output of a failed check.

#pragma once

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace figwind::test {

/// Runs `body`; a check that fails in it is reported with `name` and with the
/// names of the sections around it.
template <class Body>
void section(const std::string& name, Body&& body) {
  SCOPED_TRACE(name);
  std::forward<Body>(body)();
}

}  // namespace figwind::test
