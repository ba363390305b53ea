dev.foxtailshed.cli.internal.SubmitCommand
dev.foxtailshed.cli.internal.CheckCommand
dev.foxtailshed.cli.internal.GetCommand
dev.foxtailshed.cli.internal.InForceCommand
dev.foxtailshed.cli.internal.HistoryCommand
dev.foxtailshed.cli.internal.DiffCommand
dev.foxtailshed.cli.internal.StatusCommand
dev.foxtailshed.cli.internal.AuditTrailCommand
