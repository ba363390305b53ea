package dev.foxtailshed.bench.load;

import dev.foxtailshed.harness.Completion;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongConsumer;

/**
 * Generates the requests of one point with Poisson arrivals. The same seed yields the same
 * requests.
 */
final class ArrivalPlan {

    private static final double MICROS_PER_SECOND = 1e6;
    private static final String MODEL = "m1";

    private final RequestMix mix;
    private final Phases phases;
    private final Random random;
    private final long seed;
    private final List<PlannedRequest> requests = new ArrayList<>();

    /**
     * The durations of the phases of a point, by time of arrival.
     *
     * @param warmUpMillis the phase before the measurement window, not counted
     * @param windowMillis the measurement window, whose arrivals are counted
     * @param tailMillis the phase after the window, not counted
     */
    record Phases(long warmUpMillis, long windowMillis, long tailMillis) {

        long totalMillis() {
            return warmUpMillis + windowMillis + tailMillis;
        }
    }

    private ArrivalPlan(RequestMix mix, Phases phases, long seed) {
        this.mix = mix;
        this.phases = phases;
        this.seed = seed;
        this.random = new Random(seed);
    }

    static List<PlannedRequest> generate(
            RequestMix mix, Phases phases, double modelRequestsPerSecond, long seed) {
        ArrivalPlan plan = new ArrivalPlan(mix, phases, seed);
        plan.addPoissonArrivals(modelRequestsPerSecond, plan::addModelRequest);
        plan.addPoissonArrivals(
                modelRequestsPerSecond * mix.lookupsPerModelRequest(),
                due -> plan.addCall(due, RequestKind.LOOKUP));
        plan.addPoissonArrivals(
                modelRequestsPerSecond * mix.ordersPerModelRequest(),
                due -> plan.addCall(due, RequestKind.ORDER));
        plan.requests.sort(Comparator.comparingLong(PlannedRequest::dueMicros));
        return plan.requests;
    }

    private void addPoissonArrivals(double perSecond, LongConsumer arrival) {
        double endMicros = phases.totalMillis() * 1_000.0;
        double atMicros = nextGapMicros(perSecond);
        while (atMicros < endMicros) {
            arrival.accept((long) atMicros);
            atMicros += nextGapMicros(perSecond);
        }
    }

    private double nextGapMicros(double perSecond) {
        return -Math.log(1 - random.nextDouble()) * MICROS_PER_SECOND / perSecond;
    }

    private void addCall(long dueMicros, RequestKind kind) {
        add(dueMicros, kind, 0, 0, Optional.empty());
    }

    private void addModelRequest(long dueMicros) {
        RequestMix.Component component = mix.sample(random);
        int promptTokens =
                randomBetween(component.minimumPromptTokens(), component.maximumPromptTokens());
        int outputTokens =
                randomBetween(component.minimumOutputTokens(), component.maximumOutputTokens());
        boolean shared = random.nextDouble() < component.sharedPrefixFraction();
        String prompt = prompt(promptTokens, shared);
        Completion completion =
                new Completion(component.kind().deployment(), MODEL, prompt, outputTokens);
        add(dueMicros, component.kind(), promptTokens, outputTokens, Optional.of(completion));
    }

    private String prompt(int tokens, boolean shared) {
        StringBuilder text = new StringBuilder();
        int uniqueTokens = tokens;
        if (shared) {
            int prefix = random.nextInt(RequestMix.SHARED_PREFIXES);
            for (int i = 0; i < RequestMix.SHARED_PREFIX_TOKENS; i++) {
                text.append("frame").append(prefix).append(' ');
            }
            uniqueTokens -= RequestMix.SHARED_PREFIX_TOKENS;
        }
        String uniqueWord = Long.toString(seed % 1_000, 36) + "-" + requests.size();
        for (int i = 0; i < uniqueTokens; i++) {
            text.append(i == 0 ? uniqueWord : "w" + random.nextInt(100_000)).append(' ');
        }
        return text.toString().strip();
    }

    private int randomBetween(int minimum, int maximum) {
        return minimum + random.nextInt(maximum - minimum + 1);
    }

    private void add(
            long dueMicros,
            RequestKind kind,
            int promptTokens,
            int outputTokens,
            Optional<Completion> completion) {
        long dueMillis = dueMicros / 1_000;
        boolean counted =
                dueMillis >= phases.warmUpMillis()
                        && dueMillis < phases.warmUpMillis() + phases.windowMillis();
        requests.add(
                new PlannedRequest(
                        requests.size(),
                        dueMicros,
                        kind,
                        counted,
                        promptTokens,
                        outputTokens,
                        completion));
    }
}
