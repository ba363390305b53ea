package dev.foxtailshed.kernel.direct;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Limits the bytes that the requests of a process hold in memory together.
 *
 * <p>Answers fast servers and slow callers: each request stays within its own limit, but their sum
 * would exceed the heap. What can't be held is given up by size: the holder with the most bytes
 * gives them up first, as it gains the most room and is the least usual. Bytes that may be refused
 * in advance, such as the body of a new request, are refused instead. Thread-safe.
 *
 * <p>Example: <code>Account account = budget.open(() -> abort()); account.resize(body.size());
 * </code>
 */
public final class BufferBudget {

    private final long limitBytes;
    private final Set<Account> holders = new HashSet<>();
    private long usedBytes;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param limitBytes the number of bytes that may be held together
     */
    public BufferBudget(long limitBytes) {
        if (limitBytes <= 0) {
            throw new IllegalArgumentException("limitBytes must be positive: " + limitBytes);
        }
        this.limitBytes = limitBytes;
    }

    /**
     * Opens an account that holds no bytes.
     *
     * @param giveUp releases what the account holds; called once at most, by the thread whose bytes
     *     exceeded the limit, which may hold locks of its own
     * @return the account
     */
    public Account open(Runnable giveUp) {
        return new Account(giveUp);
    }

    /**
     * Returns the bytes that are held at the moment.
     *
     * @return the sum over all accounts
     */
    public synchronized long usedBytes() {
        return usedBytes;
    }

    /** The bytes of one holder. Thread-safe. */
    public final class Account {

        private final Runnable giveUp;
        private long bytes;
        private boolean closed;

        private Account(Runnable giveUp) {
            this.giveUp = giveUp;
        }

        /**
         * Sets the bytes that are held; the largest holders give up theirs if the limit is
         * exceeded.
         *
         * @param newBytes the number of bytes held from now on
         */
        public void resize(long newBytes) {
            setBytes(newBytes);
            for (Optional<Account> largest = closeLargestIfExceeded();
                    largest.isPresent();
                    largest = closeLargestIfExceeded()) {
                largest.get().giveUp.run();
            }
        }

        /**
         * Raises the bytes that are held unless they would exceed the limit; never lowers them.
         *
         * @param newBytes the number of bytes to be held from now on
         * @return whether there is room for them
         */
        public boolean tryGrowTo(long newBytes) {
            synchronized (BufferBudget.this) {
                if (newBytes <= bytes) {
                    return true;
                }
                if (closed || usedBytes - bytes + newBytes > limitBytes) {
                    return false;
                }
                setBytes(newBytes);
                return true;
            }
        }

        /** Releases all bytes; later sizes are ignored. */
        public void close() {
            synchronized (BufferBudget.this) {
                setBytes(0);
                closed = true;
            }
        }

        private void setBytes(long newBytes) {
            synchronized (BufferBudget.this) {
                if (closed) {
                    return;
                }
                usedBytes += newBytes - bytes;
                bytes = newBytes;
                if (newBytes > 0) {
                    holders.add(this);
                } else {
                    holders.remove(this);
                }
            }
        }
    }

    private synchronized Optional<Account> closeLargestIfExceeded() {
        if (usedBytes <= limitBytes) {
            return Optional.empty();
        }
        Optional<Account> largest =
                holders.stream().max(Comparator.comparingLong(account -> account.bytes));
        largest.ifPresent(Account::close);
        return largest;
    }
}
