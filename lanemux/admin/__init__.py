"""The admin API: operators' calls and statistics at a second address. Imported only if one is configured."""
