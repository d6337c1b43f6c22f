#include <string>

#include "base/json.h"
#include "daemon/callerformat.h"
#include "daemon/objectindex.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(CallerFormat){static absl::StatusOr<CompletionRequest> parse(
        CompletionForm form, const std::string &body, HttpHeaders headers = {}){HttpRequest request;
request.method = "POST";
request.body = body;
request.headers = std::move(headers);
return parseCompletionRequest(form, request);
}

static void checkInvalid(CompletionForm form, const std::string &body, HttpHeaders headers = {})
{
    const absl::StatusOr<CompletionRequest> parsed = parse(form, body, std::move(headers));
    CHECK_TEXT(!parsed.ok(), body.c_str());
    CHECK(errorCode(parsed.status()) == ErrorCode::InvalidRequest);
}
}
;

TEST(CallerFormat, readsCompletions)
{
    const absl::StatusOr<CompletionRequest> parsed =
            parse(CompletionForm::Text,
                  R"({"model":"m","prompt":"p","max_tokens":5,"stream":true,"temperature":0.1})",
                  {{"x-on-loss", "restart"}, {"x-timeout-ms", "1500"}});
    CHECK(parsed.ok());
    STRCMP_EQUAL("p", parsed->prompt.c_str());
    CHECK_EQUAL(5U, parsed->maxTokens);
    CHECK(parsed->isStream);
    CHECK(parsed->lossPolicy == LossPolicy::Restart);
    CHECK(parsed->timeout == 1500ms);
}

TEST(CallerFormat, readsChats)
{
    const absl::StatusOr<CompletionRequest> parsed =
            parse(CompletionForm::Chat,
                  R"({"model":"m","messages":[{"role":"system","content":"be brief"},
            {"role":"user","content":[{"type":"text","text":"ready?"}]}]})");
    CHECK(parsed.ok());
    STRCMP_EQUAL("system: be brief\nuser: ready?\nassistant:", parsed->prompt.c_str());
    CHECK(!parsed->isStream);
}

TEST(CallerFormat, refusesWhatCannotBeServed)
{
    for (const char *body :
         {"", "[]", "{}", "{\"model\":1,\"prompt\":\"p\"}", "{\"model\":\"m\"}",
          "{\"model\":\"m\",\"prompt\":\"\"}", "{\"model\":\"m\",\"prompt\":\"p\",\"n\":2}",
          "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
          "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}", "{\"model\":\"m\",\"prompt\":"})
        checkInvalid(CompletionForm::Text, body);
    for (const char *body :
         {"{\"model\":\"m\",\"messages\":[]}", "{\"model\":\"m\",\"messages\":[1]}",
          "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}"})
        checkInvalid(CompletionForm::Chat, body);
    const std::string sound = R"({"model":"m","prompt":"p"})";
    checkInvalid(CompletionForm::Text, sound, {{"x-on-loss", "retry"}});
    checkInvalid(CompletionForm::Text, sound, {{"x-timeout-ms", "soon"}});
    checkInvalid(CompletionForm::Text, sound, {{"x-timeout-ms", "0"}});
}

TEST(CallerFormat, errorsCarryCodeOutcomeAndWhenToComeBack)
{
    const std::string body =
            errorBody(makeError(ErrorCode::RateLimited, "full"), Outcome::NotRun, "r1", 1500ms);
    const absl::StatusOr<Json::Value> json = parseJson(body);
    CHECK(json.ok());
    const Json::Value &error = (*json)["error"];
    STRCMP_EQUAL("rate_limited", error["code"].asCString());
    STRCMP_EQUAL("not-run", error["outcome"].asCString());
    STRCMP_EQUAL("r1", error["request"].asCString());
    CHECK_EQUAL(1500, error["retry_after_ms"].asInt());
}

TEST(CallerFormat, tokensAreBoundedAndPlain)
{
    CHECK(isValidToken("order-7.a:b_C"));
    CHECK(!isValidToken(""));
    CHECK(!isValidToken("a/b"));
    CHECK(!isValidToken("a b"));
    CHECK(!isValidToken(std::string(129, 'a')));
}

TEST_GROUP(ObjectIndex)
{
    ObjectSet objects;

    void setup() override
    {
        OrganisationObject organisation;
        organisation.name = "org";
        organisation.keyHashes = {sha256Hex("secret")};
        organisation.services = {"answers"};
        objects.organisations["org"] = organisation;
        ModelObject model;
        model.name = "small";
        model.pool = "engines";
        objects.models["small"] = model;
        AdapterObject adapter;
        adapter.name = "tuned";
        adapter.model = "small";
        objects.adapters["tuned"] = adapter;
        ServiceObject service;
        service.name = "answers";
        service.models = {"small", "tuned"};
        objects.services["answers"] = service;
        service.name = "reports";
        service.models = {"large"};
        objects.services["reports"] = service;
    }
};

TEST(ObjectIndex, findsOrganisationsByKeyAlone)
{
    const ObjectIndex index(objects);
    STRCMP_EQUAL("org", (*index.organisation("secret"))->name.c_str());
    CHECK(errorCode(index.organisation("other").status()) == ErrorCode::Unauthenticated);
    CHECK(errorCode(index.organisation("").status()) == ErrorCode::Unauthenticated);
}

TEST(ObjectIndex, findsModelsByServiceModelAndAdapter)
{
    const ObjectIndex index(objects);
    const OrganisationObject &organisation = objects.organisations["org"];
    STRCMP_EQUAL("small", index.model(organisation, "answers")->model.c_str());
    STRCMP_EQUAL("tuned", index.model(organisation, "tuned")->model.c_str());
    STRCMP_EQUAL("engines", index.model(organisation, "tuned")->pool.c_str());
    CHECK(errorCode(index.model(organisation, "reports").status()) == ErrorCode::PermissionDenied);
    CHECK(errorCode(index.model(organisation, "none").status()) == ErrorCode::UnknownModel);
}
