/** Quotas of workspaces that hold over all entries together. */
package dev.foxtailshed.kernel.direct.quota;
