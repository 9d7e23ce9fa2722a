#include "gateway/forward/event_parser.h"

#include <criterion/criterion.h>

using namespace linenpier;
using forward::event_parser;

Test(event_parser, events_are_parsed_for_every_split_of_the_input) {
  const std::string stream =
      "weight-versions: 7\nid: 1\ndata: one\ndata: two\n\nid: 2\r\ndata: three\r\n\r\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    event_parser parser("Weight-Versions");
    auto events = parser.feed(stream.substr(0, cut));
    for (auto& event : parser.feed(stream.substr(cut))) events.push_back(std::move(event));
    cr_assert_eq(events.size(), 2U, "cut at %zu", cut);
    cr_assert_eq(*events[0].id, 1U);
    cr_assert_eq(events[0].data, "one\ntwo");
    cr_assert_eq(*events[0].version, 7U);
    cr_assert_eq(events[1].data, "three");
    cr_assert_not(events[1].version.has_value());
    cr_assert(parser.incompleteEvent().empty());
    cr_assert_eq(events[0].raw + events[1].raw, stream, "raw bytes must be unmodified");
  }
}

Test(event_parser, incomplete_event_is_buffered) {
  event_parser parser("v");
  cr_assert(parser.feed("id: 1\ndata: on").empty());
  cr_assert_eq(parser.incompleteEvent(), "id: 1\ndata: on");
}

Test(event_parser, malformed_id_is_ignored) {
  event_parser parser("v");
  const auto events = parser.feed("id: 1x\ndata: a\n\n");
  cr_assert_eq(events.size(), 1U);
  cr_assert_not(events[0].id.has_value());
}

// Guards against an event that is kept in memory until its empty line, which never comes.
Test(event_parser, an_event_over_the_limit_ends_the_stream) {
  forward::event_parser parser("Weight-Versions");
  const std::string before = "id: 1\ndata: a\n\nid: 2\ndata: ";
  cr_assert_eq(parser.feed(before).size(), 1U);
  const std::string block(16 * 1024, 'x');
  for (int i = 0; i < 4; ++i) parser.feed(block);
  cr_assert(parser.overLimit());
  const std::size_t kept = parser.incompleteEvent().size();
  cr_assert(parser.feed("\n\n" + block).empty());
  cr_assert_eq(parser.incompleteEvent().size(), kept);
}
