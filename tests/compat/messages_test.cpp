// Guards against incompatible changes of the messages between daemons and in the logs. During an
// update daemons of two versions communicate, and a new one reads the log of the old one: a field
// whose number, type or label changes would be misread.

#include "compat/compat_support.h"
#include "control.pb.h"

#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::FileDescriptor;
using testing_support::kept_lines;
using testing_support::note_found;

/// Returns "message.number: label, type, name"; message and enum types have their full name added.
std::string describe_field(const FieldDescriptor& field)
{
    std::string type = field.type_name();
    if (field.message_type() != nullptr) {
        type += " " + std::string{field.message_type()->full_name()};
    }
    if (field.enum_type() != nullptr) {
        type += " " + std::string{field.enum_type()->full_name()};
    }
    std::string label = field.is_repeated() ? "repeated" : "single";
    if (field.real_containing_oneof() != nullptr) {
        label = "oneof " + std::string{field.real_containing_oneof()->name()};
    }
    return fmt::format("{}.{}: {}, {}, {}", std::string{field.containing_type()->full_name()},
                       field.number(), label, type, std::string{field.name()});
}

void describe_enum(const EnumDescriptor& in, std::vector<std::string>& out)
{
    for (int at = 0; at < in.value_count(); ++at) {
        out.push_back(fmt::format("{}.{}: value, {}", std::string{in.full_name()},
                                  in.value(at)->number(), std::string{in.value(at)->name()}));
    }
}

void describe_message(const Descriptor& in, std::vector<std::string>& out)
{
    for (int at = 0; at < in.field_count(); ++at) {
        out.push_back(describe_field(*in.field(at)));
    }
    for (int at = 0; at < in.enum_type_count(); ++at) {
        describe_enum(*in.enum_type(at), out);
    }
    for (int at = 0; at < in.nested_type_count(); ++at) {
        describe_message(*in.nested_type(at), out);
    }
}

std::vector<std::string> describe_file(const FileDescriptor& in)
{
    std::vector<std::string> out;
    for (int at = 0; at < in.message_type_count(); ++at) {
        describe_message(*in.message_type(at), out);
    }
    for (int at = 0; at < in.enum_type_count(); ++at) {
        describe_enum(*in.enum_type(at), out);
    }
    return out;
}

TEST(the_messages_of_an_earlier_version, keep_their_field_numbers_types_and_labels)
{
    const auto present = describe_file(*wire::envelope::descriptor()->file());
    std::string text;
    for (const auto& line : present) {
        text += line + "\n";
    }
    note_found("messages.golden", text);
    const auto kept = kept_lines("messages.golden");
    ASSERT_GE(kept.size(), 200U) << "the golden file is whole";
    for (const auto& line : kept) {
        EXPECT_NE(std::find(present.begin(), present.end(), line), present.end())
            << "this field is not there any more as it was: " << line;
    }
}

} // namespace
} // namespace cedarpoint
