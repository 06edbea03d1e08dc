// All that the review's scripts share: platform, operator and callers are built from it in each case.
#pragma once
#include <atomic>
#include <mutex>
#include <optional>
#include <set>

#include "deployment.hpp"
#include "http.hpp"
#include "record.hpp"
