package dev.foxtailshed.kernel.direct.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * Credit that is lost when it has been kept for too long. The oldest is spent first. Not
 * thread-safe.
 */
final class ExpiringCredit {

    /** Credit of similar age is kept together, so that the state has a bounded size. */
    private static final int LOTS = 8;

    private final List<Lot> lots = new ArrayList<>();
    private double total;

    private static final class Lot {
        private final long sinceMillis;
        private double tokens;

        Lot(long sinceMillis, double tokens) {
            this.sinceMillis = sinceMillis;
            this.tokens = tokens;
        }
    }

    /** Returns the credit, without regard to its age. */
    double total() {
        return total;
    }

    /**
     * Adds credit.
     *
     * @param tokens the amount
     * @param sinceMillis the time from which its age is counted
     * @param lifeMillis how long it may be kept
     */
    void add(double tokens, long sinceMillis, long lifeMillis) {
        if (tokens <= 0) {
            return;
        }
        total += tokens;
        int index = lots.size();
        while (index > 0 && lots.get(index - 1).sinceMillis > sinceMillis) {
            index--;
        }
        if (index > 0 && sinceMillis - lots.get(index - 1).sinceMillis < lifeMillis / LOTS) {
            lots.get(index - 1).tokens += tokens;
        } else {
            lots.add(index, new Lot(sinceMillis, tokens));
        }
    }

    /**
     * Removes up to an amount.
     *
     * @return what was removed
     */
    double take(double tokens) {
        double missing = tokens;
        while (missing > 0 && !lots.isEmpty()) {
            Lot oldest = lots.get(0);
            if (oldest.tokens > missing) {
                oldest.tokens -= missing;
                missing = 0;
            } else {
                missing -= oldest.tokens;
                lots.remove(0);
            }
        }
        double taken = tokens - missing;
        total = lots.isEmpty() ? 0 : total - taken;
        return taken;
    }

    /**
     * Removes the credit that is too old.
     *
     * @return what was removed
     */
    double expire(long lifeMillis, long nowMillis) {
        double expired = 0;
        while (!lots.isEmpty() && nowMillis - lots.get(0).sinceMillis >= lifeMillis) {
            expired += lots.remove(0).tokens;
        }
        total = lots.isEmpty() ? 0 : total - expired;
        return expired;
    }
}
