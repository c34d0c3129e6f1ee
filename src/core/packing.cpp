#include "cedarpoint/core/packing.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <utility>

namespace cedarpoint {
namespace {

namespace pb = google::protobuf::io;

/// zlib compression level. For documents of names and numbers, the higher levels cost more time
/// than the smaller size is worth.
constexpr int fast_level = 1;

} // namespace

std::string pack(std::string_view document)
{
    std::string out;
    pb::StringOutputStream sink{&out};
    pb::CodedOutputStream{&sink}.WriteVarint64(document.size());
    pb::GzipOutputStream::Options options;
    options.compression_level = fast_level;
    pb::GzipOutputStream gzip{&sink, options};
    void* space = nullptr;
    int size = 0;
    while (!document.empty() && gzip.Next(&space, &size)) {
        const auto count = std::min<std::size_t>(document.size(), static_cast<std::size_t>(size));
        std::memcpy(space, document.data(), count);
        document.remove_prefix(count);
        gzip.BackUp(size - static_cast<int>(count));
    }
    gzip.Close();
    return out;
}

std::optional<std::string> unpack(const std::string& packed, std::size_t max_bytes)
{
    pb::ArrayInputStream source{packed.data(), static_cast<int>(packed.size())};
    std::uint64_t bytes = 0;
    if (!pb::CodedInputStream{&source}.ReadVarint64(&bytes) || bytes > max_bytes) {
        return {};
    }
    pb::GzipInputStream gzip{&source};
    std::string out;
    const void* piece = nullptr;
    int size = 0;
    while (gzip.Next(&piece, &size)) {
        if (out.size() + static_cast<std::size_t>(size) > bytes) {
            return {};
        }
        out.append(static_cast<const char*>(piece), static_cast<std::size_t>(size));
    }
    return out.size() == bytes ? std::optional{std::move(out)} : std::nullopt;
}

} // namespace cedarpoint
