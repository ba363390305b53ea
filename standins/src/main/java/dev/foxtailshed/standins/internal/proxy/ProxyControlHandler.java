package dev.foxtailshed.standins.internal.proxy;

import dev.foxtailshed.standins.internal.http.Call;
import dev.foxtailshed.standins.internal.http.Json;
import dev.foxtailshed.standins.internal.http.Reply;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Handles the control calls of a proxy. Thread-safe. */
public final class ProxyControlHandler {

    private static final String LISTEN = "listen";

    private final ProxyLoop loop;

    /**
     * Creates the handler.
     *
     * @param loop the proxy to control
     */
    public ProxyControlHandler(ProxyLoop loop) {
        this.loop = loop;
    }

    /**
     * Handles one call; unknown calls are answered with 404.
     *
     * @param call the call
     */
    public void handle(Call call) {
        switch (call.method() + " " + call.path()) {
            case "PUT /control/faults" -> setFaults(call);
            case "POST /control/cut-now" ->
                    loop.cutNow(call.parameter(LISTEN)).thenAccept(found -> reply(call, found));
            case "GET /control/counts" ->
                    loop.counts().thenAccept(c -> call.reply(Reply.json(200, Json.CAMEL.write(c))));
            default -> call.reply(Reply.error(404, "no such call"));
        }
    }

    private void setFaults(Call call) {
        Optional<ProxyFaults> faults =
                Json.CAMEL
                        .read(call.bodyText(), FaultsBody.class)
                        .flatMap(FaultsBody::toFaults)
                        .filter(ProxyFaults::isValid);
        if (faults.isEmpty()) {
            call.reply(Reply.error(400, "malformed body"));
            return;
        }
        loop.setFaults(call.parameter(LISTEN), faults.get())
                .thenAccept(found -> reply(call, found));
    }

    private static void reply(Call call, boolean found) {
        call.reply(
                found
                        ? Reply.empty(204)
                        : Reply.error(404, "the proxy does not listen on that address"));
    }

    private record FaultsBody(
            String mode, String direction, double delayMillis, long bytesPerSecond) {

        private static final ProxyFaults DEFAULTS = ProxyFaults.NONE;

        /** Returns the faults, or empty if the mode or the direction is unknown. */
        Optional<ProxyFaults> toFaults() {
            Optional<ProxyFaults.Mode> knownMode =
                    findByName(ProxyFaults.Mode.values(), mode, DEFAULTS.mode());
            Optional<Direction> knownDirection =
                    findByName(Direction.values(), direction, DEFAULTS.direction());
            return knownMode.flatMap(
                    m ->
                            knownDirection.map(
                                    d -> new ProxyFaults(m, d, delayMillis, bytesPerSecond)));
        }

        private static <E extends Enum<E>> Optional<E> findByName(
                E[] values, String text, E defaultValue) {
            if (text == null) {
                return Optional.of(defaultValue);
            }
            String name = text.replace('-', '_').toUpperCase(Locale.ROOT);
            return Arrays.stream(values).filter(v -> v.name().equals(name)).findFirst();
        }
    }
}
