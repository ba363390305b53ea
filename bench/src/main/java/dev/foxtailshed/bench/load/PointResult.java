package dev.foxtailshed.bench.load;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/**
 * The result of one point.
 *
 * @param key the settings of the point
 * @param windowMillis the length of the measurement window
 * @param outcomes the outcomes of all requests, counted or not
 * @param prefill prompt tokens processed during the point
 * @param usefulPrefillTokens uncached prompt tokens of complete responses
 * @param maximumSendDelayMillis the maximum delay with which the load generator sent a request
 * @param systemLoadAverage the load average of the machine at the end of the point
 */
record PointResult(
        PointKey key,
        long windowMillis,
        List<Outcome> outcomes,
        PrefillCounts prefill,
        long usefulPrefillTokens,
        double maximumSendDelayMillis,
        double systemLoadAverage) {

    static final String CSV_HEADER =
            "router,fault,load_percent,seed,model_requests,met,goodput_per_second,met_percent,"
                    + "wasted_percent,wasted_percent_product,lookups,lookups_met_percent,"
                    + "lookup_p99_millis,patient,patient_lost,not_run,failed,wrong,"
                    + "latest_send_millis,machine_load";
    private static final double PERCENT = 100;
    private static final double P99 = 0.99;

    String csv() {
        return String.format(
                Locale.ROOT,
                "%s,%s,%d,%d,%d,%d,%.2f,%.1f,%.2f,%.2f,%d,%.2f,%.1f,%d,%d,%d,%d,%d,%.1f,%.1f",
                key.router(),
                key.fault().label,
                key.loadPercent(),
                key.seed(),
                count(PointResult::isModel),
                count(outcome -> isModel(outcome) && outcome.metTargets()),
                goodputPerSecond(),
                metPercent(PointResult::isModel),
                wastedPercent(),
                routerWastedPercent(),
                count(PointResult::isLookup),
                metPercent(PointResult::isLookup),
                lookupP99Millis(),
                count(outcome -> outcome.request().kind().patient),
                patientLost(),
                count(outcome -> outcome.end() == Outcome.End.NOT_RUN),
                count(outcome -> outcome.end() == Outcome.End.FAILED),
                count(outcome -> outcome.end() == Outcome.End.WRONG),
                maximumSendDelayMillis,
                systemLoadAverage);
    }

    /** Returns the counted model requests that met both latency targets, per second. */
    double goodputPerSecond() {
        return count(outcome -> isModel(outcome) && outcome.metTargets()) * 1_000.0 / windowMillis;
    }

    double lookupsMetPercent() {
        return metPercent(PointResult::isLookup);
    }

    /** Returns the percentage of prefilled tokens that did not serve a complete response. */
    double wastedPercent() {
        long wasted = Math.max(0, prefill.engineTokens() - usefulPrefillTokens);
        return PERCENT * wasted / Math.max(1, prefill.engineTokens());
    }

    double routerWastedPercent() {
        return PERCENT * prefill.routerWastedTokens() / Math.max(1, prefill.routerReadTokens());
    }

    double lookupP99Millis() {
        double[] sorted =
                outcomes.stream()
                        .filter(outcome -> outcome.request().counted() && isLookup(outcome))
                        .mapToDouble(Outcome::firstTokenMillis)
                        .sorted()
                        .toArray();
        return sorted.length == 0
                ? 0
                : sorted[(int) Math.min(sorted.length - 1, Math.ceil(sorted.length * P99) - 1)];
    }

    /** Returns the number of patient requests, counted or not, without a complete response. */
    long patientLost() {
        return outcomes.stream()
                .filter(outcome -> outcome.request().kind().patient)
                .filter(outcome -> outcome.end() != Outcome.End.WHOLE)
                .count();
    }

    long wrong() {
        return outcomes.stream().filter(o -> o.end() == Outcome.End.WRONG).count();
    }

    private double metPercent(Predicate<Outcome> which) {
        long all = count(which);
        return all == 0 ? PERCENT : PERCENT * count(o -> which.test(o) && o.metTargets()) / all;
    }

    private long count(Predicate<Outcome> which) {
        return outcomes.stream()
                .filter(outcome -> outcome.request().counted())
                .filter(which)
                .count();
    }

    private static boolean isModel(Outcome outcome) {
        return !outcome.request().kind().isCall();
    }

    private static boolean isLookup(Outcome outcome) {
        return outcome.request().kind() == RequestKind.LOOKUP;
    }
}
