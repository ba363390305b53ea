package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.DirectRoute;
import dev.foxtailshed.kernel.direct.DirectService;
import dev.foxtailshed.kernel.direct.EngineSpec;
import dev.foxtailshed.kernel.direct.PromptParts;
import dev.foxtailshed.kernel.direct.Repeatability;
import dev.foxtailshed.kernel.direct.RequestAttributes;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;

/** Creates requests for tests that send none over a connection. */
final class CallerRequests {

    private CallerRequests() {}

    /** Creates a request to a model service. */
    static CallerRequest createForModel() {
        EngineSpec engine = new EngineSpec(8, 1_000, 500, 500, 2_000, false);
        return create(
                "127.0.0.1",
                "/x",
                PromptParts.NONE,
                "",
                new DirectService("llm", 10, Optional.empty(), Optional.of(engine)));
    }

    static CallerRequest create(String caller, String target, PromptParts prompt, String body) {
        DirectService service = new DirectService("app", 10, Optional.empty(), Optional.empty());
        return create(caller, target, prompt, body, service);
    }

    private static CallerRequest create(
            String caller, String target, PromptParts prompt, String body, DirectService service) {
        DirectRoute route =
                new DirectRoute(
                        "r",
                        "host",
                        "/",
                        Repeatability.REPEATABLE,
                        1_000,
                        1_000,
                        0,
                        BigDecimal.ZERO,
                        List.of(new DirectRoute.WeightedService("app", BigDecimal.ONE)),
                        2,
                        false,
                        false);
        return new CallerRequest(
                "request",
                caller,
                "GET",
                target,
                HttpFields.EMPTY,
                body.getBytes(StandardCharsets.UTF_8),
                new RequestAttributes(
                        Optional.of("request"),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        prompt,
                        Optional.empty()),
                route,
                service,
                Optional.empty(),
                Optional.empty(),
                0,
                BigDecimal.ONE,
                0,
                1_000);
    }
}
