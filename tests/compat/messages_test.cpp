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
using testing_support::read_test_data_lines;
using testing_support::write_observed;

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
    for (int n = 0; n < in.value_count(); ++n) {
        out.push_back(fmt::format("{}.{}: value, {}", std::string{in.full_name()},
                                  in.value(n)->number(), std::string{in.value(n)->name()}));
    }
}

void describe_message(const Descriptor& in, std::vector<std::string>& out)
{
    for (int n = 0; n < in.field_count(); ++n) {
        out.push_back(describe_field(*in.field(n)));
    }
    for (int n = 0; n < in.enum_type_count(); ++n) {
        describe_enum(*in.enum_type(n), out);
    }
    for (int n = 0; n < in.nested_type_count(); ++n) {
        describe_message(*in.nested_type(n), out);
    }
}

std::vector<std::string> describe_file(const FileDescriptor& in)
{
    std::vector<std::string> out;
    for (int n = 0; n < in.message_type_count(); ++n) {
        describe_message(*in.message_type(n), out);
    }
    for (int n = 0; n < in.enum_type_count(); ++n) {
        describe_enum(*in.enum_type(n), out);
    }
    return out;
}

TEST(the_messages_of_an_earlier_version, keep_their_field_numbers_types_and_labels)
{
    const auto current = describe_file(*wire::envelope::descriptor()->file());
    std::string text;
    for (const auto& line : current) {
        text += line + "\n";
    }
    write_observed("messages.golden", text);
    const auto golden = read_test_data_lines("messages.golden");
    ASSERT_GE(golden.size(), 200U) << "the golden file is incomplete";
    for (const auto& line : golden) {
        EXPECT_NE(std::find(current.begin(), current.end(), line), current.end())
            << "field removed or changed: " << line;
    }
}

} // namespace
} // namespace cedarpoint
