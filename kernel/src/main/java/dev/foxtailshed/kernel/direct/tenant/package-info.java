/** The tenants of a deployment: their keys, urgency and quotas. */
package dev.foxtailshed.kernel.direct.tenant;
