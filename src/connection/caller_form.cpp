// Implementation of the native form of callers' requests; see the header.
#include "connection/caller_form.hpp"

#include <charconv>

namespace buckthornusher
{

namespace
{

constexpr std::string_view native_prefix = "buckthornusher-";

std::string problem_text(refusal const& details)
{
    return std::string(R"({"type":"about:blank","title":")") +
           std::string(to_string(details.reason)) + R"(","outcome":")" +
           (details.may_have_run ? "unknown" : "refused") + R"(","ran":)" +
           (details.may_have_run ? "\"unknown\"" : "false") + "}\n";
}

} // namespace

caller_facts native_caller_form::read(http_request const& request) const
{
    caller_facts facts;
    facts.id = find_header(request.headers, "x-request-id");
    facts.operation = find_header(request.headers, "buckthornusher-operation");
    auto const text = find_header(request.headers, "buckthornusher-deadline-ms");
    std::int64_t ms = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (!text.empty() && error == std::errc{} && ms > 0)
        facts.timeout = std::chrono::milliseconds(ms);
    return facts;
}

void native_caller_form::strip(http_request& request) const
{
    std::erase_if(request.headers,
                  [](http_header const& h)
                  {
                      return h.name.size() >= native_prefix.size() &&
                             equal_names(h.name.substr(0, native_prefix.size()),
                                         native_prefix);
                  });
}

http_response native_caller_form::answered(http_response response) const
{
    response.headers.push_back({"buckthornusher-outcome", "answered"});
    return response;
}

http_response native_caller_form::refused(refusal const& details) const
{
    http_response response{.status = http_status(details.reason, details.may_have_run)};
    auto& headers = response.headers;
    headers.push_back({"content-type", "application/problem+json"});
    headers.push_back(
        {"buckthornusher-outcome", details.may_have_run ? "unknown" : "refused"});
    headers.push_back({"buckthornusher-reason", std::string(to_string(details.reason))});
    if (details.retry_after > 0us)
    {
        auto const ms =
            std::chrono::ceil<std::chrono::milliseconds>(details.retry_after).count();
        headers.push_back({"retry-after", std::to_string((ms + 999) / 1'000)});
        headers.push_back({"buckthornusher-retry-after-ms", std::to_string(ms)});
    }
    response.body = problem_text(details);
    return response;
}

} // namespace buckthornusher
