package dev.foxtailshed.kernel.direct.quota;

import java.util.ArrayList;
import java.util.List;

/** The tokens that servers ran, in the order of time. Not thread-safe. */
final class SpendLog {

    private final List<Spent> all = new ArrayList<>();

    private record Spent(long atMillis, double tokens) {}

    void add(long atMillis, double tokens) {
        all.add(new Spent(atMillis, tokens));
    }

    /** Returns the tokens from one time to before another. */
    double between(long fromMillis, long toMillis) {
        return all.stream()
                .filter(spent -> spent.atMillis >= fromMillis && spent.atMillis < toMillis)
                .mapToDouble(Spent::tokens)
                .sum();
    }

    /** Returns the most tokens in any window that begins at a time or later. */
    double worstWindow(long windowMillis, long fromMillis) {
        double worst = 0;
        double sum = 0;
        int first = 0;
        for (Spent spent : all) {
            if (spent.atMillis < fromMillis) {
                first++;
                continue;
            }
            sum += spent.tokens;
            while (all.get(first).atMillis <= spent.atMillis - windowMillis) {
                sum -= all.get(first).tokens;
                first++;
            }
            worst = Math.max(worst, sum);
        }
        return worst;
    }
}
