/** The limits and delays of retries. */
package dev.foxtailshed.kernel.retry;
