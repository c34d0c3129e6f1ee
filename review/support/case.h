// What every case uses: its result, its record, its clock.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string_view>
#include <thread>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

/// Exit codes of a case.
enum class result { held = 0, broken = 1, not_run = 2 };

inline steady::time_point start_time()
{
    static const auto out = steady::now();
    return out;
}

/// Seconds since the start of the case.
inline double elapsed()
{
    return std::chrono::duration<double>(steady::now() - start_time()).count();
}

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Writes one line with the time to record.txt and to standard output.
inline void record(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void record(const char* format, ...)
{
    static std::mutex lock;
    static FILE* file = [] {
        const char* path = std::getenv("RECORD_FILE");
        return std::fopen(path != nullptr ? path : "record.txt", "w");
    }();
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard guard{lock};
    for (FILE* out : {file, stdout}) {
        if (out != nullptr) {
            std::fprintf(out, "%8.3f %s\n", elapsed(), text);
            std::fflush(out);
        }
    }
}

/// False for a run without the disruption.
inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

} // namespace review
