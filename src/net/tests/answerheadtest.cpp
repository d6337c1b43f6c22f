#include <array>
#include <functional>
#include <string>
#include <vector>

#include "base/randomsource.h"
#include "net/messagehead.h"
#include "net/tests/looptesting.h"
#include "net/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

static constexpr std::size_t MaxHeadBytes = 65536;
static constexpr const char *NameCharacters =
        "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

namespace {

/// Heads of answers, drawn from the grammar of HTTP/1, whole or with one defect.
class HeadGrammar
{
public:
    enum class Part { Version, Status, Reason, Name, Value, Line };

    /// A piece of a head that is replaced by one that HTTP/1 does not allow.
    struct Defect
    {
        Part part;
        std::string text;
    };

    explicit HeadGrammar(std::uint64_t seed) : random(seed) {}

    static std::vector<Defect> defects()
    {
        using namespace std::string_literals;
        std::vector<Defect> all;
        for (const char *version : {"HTTP/2.0", "HTTP/1.x", "http/1.1", "HTTP/1", "HTTP 1.1", ""})
            all.push_back({Part::Version, version});
        for (const char *status : {"000", "001", "099", "101", "600", "999", "20", "2000", "+20",
                                   "-20", "2 0", "2x0", "0x1", ""})
            all.push_back({Part::Status, status});
        for (const std::string &control : {"\0"s, "\1"s, "\x1f"s, "\x7f"s, "\r"s})
            all.push_back({Part::Reason, "a" + control + "b"});
        for (const std::string &name :
             {""s,    "a b"s,   "a "s,   " a"s,  "\ta"s,   "a\tb"s,  "a\0b"s,
              "a\1"s, "a\x7f"s, "a\rb"s, "a(b"s, "\"a\""s, "a\xe9"s, "a/b"s,
              "a@b"s, "[a]"s,   "{a}"s,  "a,b"s, "a;b"s,   "a=b"s})
            all.push_back({Part::Name, name});
        for (const std::string &value : {"a\0b"s, "a\1b"s, "a\x1b[m"s, "a\x7f"s, "a\rb"s})
            all.push_back({Part::Value, value});
        for (const char *line : {"no colon", " folded", "\tfolded"})
            all.push_back({Part::Line, line});
        return all;
    }

    /// Returns heads with the field \a framing in the last one. A defect is in one of the heads.
    std::string draw(const std::string &framing, const Defect *defect = nullptr)
    {
        std::string heads;
        const std::uint64_t interim = random.uniformBelow(3);
        const std::uint64_t defective = random.uniformBelow(interim + 1);
        for (std::uint64_t i = 0; i <= interim; ++i) {
            const bool isFinal = i == interim;
            heads += head(isFinal, isFinal ? framing : "", i == defective ? defect : nullptr);
        }
        return heads;
    }

    RandomSource random;
    int status = 0;      ///< Of the final head that was drawn last.
    std::string name{};  ///< Of its last field, in lower case.
    std::string value{}; ///< Of its last field, without the white space around it.

private:
    static const std::string &pick(const Defect *defect, Part part, const std::string &sound)
    {
        return defect && defect->part == part ? defect->text : sound;
    }

    std::string head(bool isFinal, const std::string &framing, const Defect *defect)
    {
        static const std::array<std::string, 5> Reasons{"", "OK", "a reason", "a\tb", "caf\xe9"};
        // A change of the protocol is no interim answer.
        static constexpr std::array<int, 4> InterimStatuses{100, 102, 103, 199};
        status = isFinal ? 200 + static_cast<int>(random.uniformBelow(400))
                         : InterimStatuses[random.uniformBelow(4)];
        std::string text = pick(defect, Part::Version, "HTTP/1.1") + ' '
                           + pick(defect, Part::Status, std::to_string(status)) + ' '
                           + pick(defect, Part::Reason, Reasons[random.uniformBelow(5)]) + "\r\n";
        text += framing;
        const std::uint64_t fields = 1 + random.uniformBelow(4);
        for (std::uint64_t i = 0; i < fields; ++i) {
            const bool isLast = i + 1 == fields;
            text += field(isLast ? defect : nullptr);
        }
        if (defect && defect->part == Part::Line)
            text += defect->text + "\r\n";
        return text + "\r\n";
    }

    std::string field(const Defect *defect)
    {
        static constexpr std::string_view Names = NameCharacters;
        name.clear();
        value.clear();
        for (std::uint64_t size = 6 + random.uniformBelow(12); size > 0; --size)
            name += Names[random.uniformBelow(Names.size())];
        for (std::uint64_t size = random.uniformBelow(12); size > 0; --size) {
            // Any byte but controls.
            const auto byte = static_cast<char>(0x21 + random.uniformBelow(0x100 - 0x21));
            value += byte == 0x7F ? '\t' : byte;
        }
        value = std::string(fieldValue(value));
        const std::string space = random.chance(0.5) ? " " : "";
        std::string text = pick(defect, Part::Name, name) + ":" + space
                           + pick(defect, Part::Value, value) + space + "\r\n";
        for (char &c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        return text;
    }
};

} // namespace

TEST_GROUP(AnswerHead)
{
    static constexpr std::array<const char *, 3> Framings{"Content-Length: 4\r\n",
                                                          "Transfer-Encoding: chunked\r\n", ""};
    static constexpr std::array<const char *, 3> Bodies{"body", "4\r\nbody\r\n0\r\n\r\n", "body"};

    LoopBench bench;
    RawListener listener;
    CallRecord record;
    int heads = 0;

    /// Lets a server answer with \a bytes in two parts and close; returns how the exchange ended.
    absl::Status read(const std::string &bytes, std::size_t cut)
    {
        record = {};
        heads = 0;
        HttpCallOptions options;
        options.endpoint = listener.endpoint();
        HttpCallHooks hooks = record.hooks();
        hooks.onHead = [this](const HttpResponseHead &head) {
            ++heads;
            record.head = head;
        };
        const std::unique_ptr<HttpCall> call =
                bench.loop->client().send(options, {"GET", "/", {}, {}}, hooks);
        std::unique_ptr<RawSocket> peer;
        CHECK(bench.runUntil([&] {
            const int fd = peer ? -1 : listener.accept();
            if (fd >= 0)
                peer = std::make_unique<RawSocket>(fd);
            if (peer)
                peer->receive();
            return peer && !peer->received().empty();
        }));
        peer->send(bytes.substr(0, cut));
        for (int i = 0; i < 3; ++i)
            bench.loop->runOnce(Duration::zero());
        peer->send(bytes.substr(cut));
        peer.reset();
        CHECK(bench.runUntil([this] { return record.status.has_value(); }));
        return *record.status;
    }
};

TEST(AnswerHead, soundHeadsPassWholeAndCutAtAnyByte)
{
    HeadGrammar grammar(1);
    for (int i = 0; i < 300; ++i) {
        const std::string text = grammar.draw("");
        for (std::size_t cut = 0; cut <= text.size(); ++cut)
            CHECK_TEXT(checkResponseHead(text.substr(0, cut), MaxHeadBytes).ok(), text.c_str());
    }
    // Without the space before an empty reason.
    CHECK(checkResponseHead("HTTP/1.1 200\r\n\r\n", MaxHeadBytes).ok());
}

TEST(AnswerHead, headsWithOneDefectFailWhateverFollows)
{
    HeadGrammar grammar(2);
    for (const HeadGrammar::Defect &defect : HeadGrammar::defects()) {
        for (int i = 0; i < 20; ++i) {
            const std::string text = grammar.draw("", &defect);
            for (const char *rest : {"", "body", "HTTP/1.1 200 OK\r\n\r\n"}) {
                const absl::Status status = checkResponseHead(text + rest, MaxHeadBytes);
                CHECK_TEXT(!status.ok(), (text + '(' + defect.text + ')').c_str());
                CHECK(errorCode(status) == ErrorCode::TargetProtocolError);
            }
        }
    }
}

// Sound heads may be odd: any code of three digits in range, any character that HTTP/1 allows.
TEST(AnswerHead, answersWithSoundHeadsArriveWhole)
{
    HeadGrammar grammar(3);
    for (int i = 0; i < 300; ++i) {
        const std::size_t framing = grammar.random.uniformBelow(Framings.size());
        const std::string text = grammar.draw(Framings[framing]);
        const bool hasBody = hasBodyByStatus(grammar.status);
        const std::string body = hasBody ? Bodies[framing] : "";
        const absl::Status status =
                read(text + body, grammar.random.uniformBelow(text.size() + body.size()));
        CHECK_TEXT(status.ok(), (text + std::string(status.message())).c_str());
        LONGS_EQUAL(1, heads);
        LONGS_EQUAL(grammar.status, record.head.status);
        STRCMP_EQUAL(hasBody ? "body" : "", record.body.c_str());
        const auto value = findHeader(record.head.headers, grammar.name);
        CHECK_TEXT(value.has_value(), text.c_str());
        CHECK_EQUAL(grammar.value, std::string(*value));
    }
}

// Guards against a head that is no answer, such as one of status 000, and reaches the caller.
TEST(AnswerHead, noPartOfAnAnswerWithADefectiveHeadIsPassedOn)
{
    HeadGrammar grammar(4);
    for (const HeadGrammar::Defect &defect : HeadGrammar::defects()) {
        for (std::size_t framing = 0; framing < Framings.size(); ++framing) {
            const std::string text = grammar.draw(Framings[framing], &defect);
            for (const std::size_t cut :
                 {std::size_t{0}, grammar.random.uniformBelow(text.size()), text.size()}) {
                const absl::Status status = read(text + Bodies[framing], cut);
                LONGS_EQUAL_TEXT(0, heads, text.c_str());
                CHECK_TEXT(errorCode(status) == ErrorCode::TargetProtocolError, text.c_str());
                CHECK(record.body.empty());
            }
        }
    }
}
